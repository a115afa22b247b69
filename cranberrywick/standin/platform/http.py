"""Reading of requests and writing of answers, as the stand-ins of endpoints do."""

import asyncio
from collections.abc import Callable

import h11

__all__ = ["encode_response", "read_request", "run_unless_closed"]

READ_BYTES = 65536


async def read_request(
    http: h11.Connection,
    reader: asyncio.StreamReader,
    pause_seconds: Callable[[], float],
) -> tuple[h11.Request | None, bytes]:
    """Return the head and the body of a request; None if the connection ends before.

    ``pause_seconds`` returns the pause before each read.
    """
    head, body = None, bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            await asyncio.sleep(pause_seconds())
            http.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return head, bytes(body)
        else:
            return None, b""


async def run_unless_closed(reader: asyncio.StreamReader, work) -> None:
    """Await ``work``, but cancel it when the peer closes the connection first."""
    task = asyncio.ensure_future(work)
    closed = asyncio.ensure_future(reader.read(1))
    try:
        await asyncio.wait({task, closed}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        if not task.done():
            task.cancel()
        closed.cancel()
        await asyncio.gather(task, closed, return_exceptions=True)


def encode_response(
    http: h11.Connection, status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return the bytes of a whole answer; none if one was sent already."""
    fields = [*headers, ("Content-Length", str(len(body)))]
    if http.our_state is not h11.SEND_RESPONSE:
        return b""
    head = http.send(h11.Response(status_code=status, headers=fields))
    data = http.send(h11.Data(data=body)) if body else b""
    return head + data + http.send(h11.EndOfMessage())
