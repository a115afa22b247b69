"""A proxy in front of an endpoint that causes the faults of a link."""

import asyncio


class Proxy:
    """Forwards the bytes of connections to an endpoint, with the fault of its mode.

    ``delay`` delays each piece by 0.05 s, ``silent`` forwards nothing, ``one_way``
    forwards nothing from the endpoint, and ``reset`` closes the open connections.
    """

    MODES = ("delay", "silent", "one_way", "reset")

    def __init__(self, target: str):
        self._target = target
        self.mode = "open"
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        if mode == "reset":
            for writer in self._writers:
                writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        host, _, port = self._target.rpartition(":")
        source = writer.get_extra_info("peername")[0]
        try:
            upstream, onward = await asyncio.open_connection(
                host, int(port), local_addr=(source, 0)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, onward}
        try:
            ways = (
                self._pass(reader, onward, "silent"),
                self._pass(upstream, writer, "one_way"),
            )
            await asyncio.gather(*ways)
        finally:
            self._writers -= {writer, onward}
            writer.close()
            onward.close()

    async def _pass(self, reader, writer, blocked_by: str) -> None:
        while True:
            try:
                data = await reader.read(65536)
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                while self.mode in ("silent", blocked_by):
                    await asyncio.sleep(0.05)
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
            except OSError:
                writer.transport.abort()
                return
