"""The source in the benchmark of the relay: one thread that serves timed streams.

It takes the place of an engine. Each event carries the time when it was due, on the
machine's monotonic clock, which all processes share. The delay that the caller
measures includes that of the source itself, in the direct run and in the relayed one.
"""

import heapq
import json
import re
import selectors
import socket
import time

__all__ = ["serve_source"]

_REQUEST_ID = re.compile(rb"x-request-id: (\S+)", re.IGNORECASE)
_ATTEMPT = re.compile(rb"x-attempt: (\S+)", re.IGNORECASE)
_HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\nConnection: close\r\n"
    "X-Request-Id: {request_id}\r\nX-Attempt: {attempt}\r\n\r\n"
)

# The answer to the load requests that a daemon sends to an engine.
_LOAD_BODY = json.dumps(
    {"incarnation": 1, "phase": "warm", "models": ["bench"], "age_seconds": 0.0}
).encode()
_LOAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(_LOAD_BODY), _LOAD_BODY)
)


class _Stream:
    """One stream; ``number`` is that of its next event."""

    def __init__(self, sock: socket.socket, head: bytes):
        request_id = _REQUEST_ID.search(head)
        attempt = _ATTEMPT.search(head)
        self.sock = sock
        self.request_id = request_id.group(1).decode() if request_id else "direct"
        self.attempt = attempt.group(1).decode() if attempt else "1"
        self.number = 0

    def head(self) -> bytes:
        return _HEAD.format(request_id=self.request_id, attempt=self.attempt).encode()

    def event(self, due: float) -> bytes:
        chunk = (
            f'id: {self.number}\ndata: {{"id": "{self.request_id}.{self.attempt}", '
            f'"object": "chat.completion.chunk", "due": {due:.6f}, "choices": '
            '[{"index": 0, "delta": {"content": "word "}, "finish_reason": null}]}\n\n'
        )
        return _chunked(chunk.encode())

    def end(self, events: int) -> bytes:
        last = (
            f'id: {self.number}\ndata: {{"id": "{self.request_id}.{self.attempt}", '
            f'"choices": [], "usage": {{"completion_tokens": {events}}}}}\n\n'
            "data: [DONE]\n\n"
        )
        return _chunked(last.encode()) + b"0\r\n\r\n"


def serve_source(events: int, interval: float) -> None:
    """Serve streams of ``events`` events, one every ``interval`` seconds.

    Runs until the process ends.
    """
    listener = socket.create_server(("127.0.0.1", 0), backlog=2048)
    listener.setblocking(False)
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    print(f"ready 127.0.0.1:{listener.getsockname()[1]}", flush=True)
    due_heap: list[tuple[float, int, _Stream]] = []
    while True:
        wait = due_heap[0][0] - time.monotonic() if due_heap else None
        for key, _ in selector.select(max(wait, 0) if wait is not None else None):
            if key.fileobj is listener:
                _accept(listener, selector)
            else:
                _start(key.fileobj, selector, due_heap)
        now = time.monotonic()
        while due_heap and due_heap[0][0] <= now:
            _emit(heapq.heappop(due_heap), due_heap, events, interval)


def _accept(listener: socket.socket, selector: selectors.BaseSelector) -> None:
    sock, _ = listener.accept()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    selector.register(sock, selectors.EVENT_READ)


def _start(sock: socket.socket, selector: selectors.BaseSelector, heap: list) -> None:
    selector.unregister(sock)
    head = sock.recv(65536)
    if not head:
        sock.close()
        return
    if head.startswith(b"GET "):
        sock.sendall(_LOAD)
        sock.close()
        return
    stream = _Stream(sock, head)
    sock.sendall(stream.head())
    heapq.heappush(heap, (time.monotonic(), id(stream), stream))


def _emit(entry: tuple, heap: list, events: int, interval: float) -> None:
    due, key, stream = entry
    try:
        if stream.number < events:
            stream.sock.sendall(stream.event(due))
            stream.number += 1
            heapq.heappush(heap, (due + interval, key, stream))
        else:
            stream.sock.sendall(stream.end(events))
            stream.sock.close()
    except OSError:
        stream.sock.close()


def _chunked(data: bytes) -> bytes:
    return b"%X\r\n%b\r\n" % (len(data), data)
