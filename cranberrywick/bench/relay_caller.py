"""The caller in the benchmark of the relay: one thread that reads many streams."""

import json
import re
import selectors
import socket
import time

__all__ = ["CALLER_KEY", "MODEL", "call_streams"]

CALLER_KEY = "benchmark-key"
MODEL = "bench"

_DUE = re.compile(rb'"due": ([0-9.]+)')
_BODY = json.dumps(
    {
        "model": MODEL,
        "stream": True,
        "max_tokens": 100,
        "messages": [{"role": "user", "content": "a short prompt"}],
    }
).encode()
# Interval between the starts of streams, in seconds, which keeps connecting out of the
# measurement.
START_INTERVAL = 0.01


class _Reader:
    """One stream of the caller; times are in seconds."""

    def __init__(self, address: str):
        host, port = address.rsplit(":", 1)
        self.started = time.monotonic()
        self.sock = socket.create_connection((host, int(port)))
        self.sock.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
            b"Content-Type: application/json\r\nConnection: close\r\n"
            b"Authorization: Bearer %b\r\nContent-Length: %d\r\n\r\n%b"
            % (CALLER_KEY.encode(), len(_BODY), _BODY)
        )
        self.sock.setblocking(False)
        self.first_event: float | None = None
        self.tail = b""
        self.whole = False

    def read(self, delays: list[tuple[float, float]]) -> bool:
        """Read available data; return False at the end of the stream.

        Add the time when each event was due, and its delay, to ``delays``.
        """
        try:
            data = self.sock.recv(65536)
        except ConnectionResetError:
            return False
        now = time.monotonic()
        if not data:
            return False
        # An event that is cut by the end of the data is counted after the next read.
        data = self.tail + data
        last = 0
        for match in _DUE.finditer(data):
            if match.end() == len(data):
                break
            last = match.end()
            due = float(match.group(1))
            if self.first_event is None:
                self.first_event = now - self.started
            delays.append((due, now - due))
        self.tail = data[max(last, len(data) - 64) :]
        if b"[DONE]" in self.tail:
            self.whole = True
        return True


def call_streams(address: str, streams: int) -> None:
    """Read ``streams`` streams to their end and print the summary as JSON."""
    selector = selectors.DefaultSelector()
    delays: list[tuple[float, float]] = []
    readers: list[_Reader] = []
    next_start = time.monotonic()
    open_streams = 0
    while open_streams or len(readers) < streams:
        now = time.monotonic()
        if len(readers) < streams and now >= next_start:
            reader = _Reader(address)
            readers.append(reader)
            selector.register(reader.sock, selectors.EVENT_READ, reader)
            open_streams += 1
            next_start = now + START_INTERVAL
            if len(readers) == streams:
                print("started", flush=True)
        wait = max(next_start - now, 0) if len(readers) < streams else 1.0
        for key, _ in selector.select(wait):
            if not key.data.read(delays):
                selector.unregister(key.fileobj)
                key.fileobj.close()
                open_streams -= 1
    print(json.dumps(_summary(readers, delays)), flush=True)


def _summary(readers: list[_Reader], delays: list[tuple[float, float]]) -> dict:
    """Return the summary; event delays are those after all streams had started."""
    steady = max(reader.started for reader in readers) + 0.5
    return {
        "first": [r.first_event for r in readers if r.first_event is not None],
        "delays": [delay for due, delay in delays if due >= steady],
        "whole": sum(reader.whole for reader in readers),
    }
