"""Endpoints whose answers never end, for tests with real gateway processes.

Each form is a function from a request to the bytes that an endpoint sends first and
those that it repeats until the gateway closes the connection. Threads send them, as
fast as the gateway reads. As a process, with a form and a number as its arguments, it
serves so many endpoints until it is killed, and prints their addresses.
"""

import socket
import sys
import threading
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

__all__ = ["FORMS", "EndlessEndpoint", "Request"]

# Size of a repeated part, in bytes.
PART_BYTES = 64_000
# Longest time for which an endpoint waits for a request or a reader, in seconds.
SOCKET_SECONDS = 15.0
HUGE_LENGTH = 900_000_000_000

FORMS: dict[str, Callable[["Request"], tuple[bytes, bytes]]] = {}


class Request(NamedTuple):
    """What an endpoint has read of a request; header names are in lower case."""

    target: str
    headers: dict[str, str]

    @property
    def request_id(self) -> str:
        return self.headers.get("cranberrywick-request-id", "")


def _form(function):
    FORMS[function.__name__.lstrip("_")] = function
    return function


def _head(request, status="200 OK", *lines):
    own = [
        f"HTTP/1.1 {status}",
        f"Cranberrywick-Request-Id: {request.request_id}",
        "Cranberrywick-Response-Seal: seal.endless",
        *lines,
    ]
    return "\r\n".join([*own, "", ""]).encode()


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


CHUNKED = "Transfer-Encoding: chunked"
EVENTS = "Content-Type: text/event-stream"


@_form
def _chunked(request):
    return _head(request, "200 OK", CHUNKED), _chunk(b"x" * PART_BYTES)


@_form
def _huge_length(request):
    length = f"Content-Length: {HUGE_LENGTH}"
    return _head(request, "200 OK", length), b"x" * PART_BYTES


@_form
def _unframed(request):
    return _head(request), b"x" * PART_BYTES


@_form
def _failing_chunked(request):
    head = _head(request, "500 Internal Server Error", CHUNKED)
    return head, _chunk(b"x" * PART_BYTES)


@_form
def _failing_huge_length(request):
    length = f"Content-Length: {HUGE_LENGTH}"
    return _head(request, "500 Internal Server Error", length), b"x" * PART_BYTES


@_form
def _failing_unframed(request):
    return _head(request, "500 Internal Server Error"), b"x" * PART_BYTES


@_form
def _refusing_chunked(request):
    own = ("Cranberrywick-Not-Executed: 1", CHUNKED)
    head = _head(request, "503 Service Unavailable", *own)
    return head, _chunk(b"x" * PART_BYTES)


@_form
def _one_event(request):
    head = _head(request, "200 OK", EVENTS, CHUNKED) + _chunk(b"id: 1\ndata: ")
    return head, _chunk(b"x" * PART_BYTES)


@_form
def _comments(request):
    return _head(request, "200 OK", EVENTS, CHUNKED), _chunk(b": waiting\n\n" * 5_000)


@_form
def _empty_lines(request):
    return _head(request, "200 OK", EVENTS, CHUNKED), _chunk(b"\n" * PART_BYTES)


@_form
def _empty_events(request):
    return _head(request, "200 OK", EVENTS, CHUNKED), _chunk(b"data:\n\n" * 9_000)


@_form
def _empty_ids(request):
    return _head(request, "200 OK", EVENTS, CHUNKED), _chunk(b"id:\n\n" * 12_000)


@_form
def _short_events(request):
    events = b"id: 1\ndata: x\n\n" * 4_000
    return _head(request, "200 OK", EVENTS, CHUNKED), _chunk(events)


@_form
def _tiny_chunks(request):
    return _head(request, "200 OK", EVENTS, CHUNKED), _chunk(b"x") * 10_000


@_form
def _interim(request):
    return b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000


@_form
def _status_line(request):
    return b"HTTP/1.1 200 ", b"x" * PART_BYTES


@_form
def _head_lines(request):
    return b"HTTP/1.1 200 OK\r\n", b"X-Line: x\r\n" * 5_000


@_form
def _trailer_lines(request):
    head = _head(request, "200 OK", CHUNKED) + _chunk(b"x") + b"0\r\n"
    return head, b"X-Line: x\r\n" * 5_000


@_form
def _chunk_extension(request):
    return _head(request, "200 OK", CHUNKED) + b"1;", b"x" * PART_BYTES


class EndlessEndpoint:
    """One endpoint; ``form`` is the one of `FORMS` that it answers with.

    ``runs`` counts the requests that it got by their ids, ``endless_runs`` those to
    which it sent an answer without end.
    """

    def __init__(self, form: str):
        self.form = form
        self.runs: Counter[str] = Counter()
        self.endless_runs = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Stop listening; connections end with their readers."""
        self._listener.close()

    def first_answer(self, request: Request) -> bytes | None:
        """Return a whole answer to send in place of an endless one, if there is one."""
        return None

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return  # It was stopped.
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            connection.settimeout(SOCKET_SECONDS)
            try:
                request = _read_request(connection)
                if request is None:
                    return
                self.runs[request.request_id] += 1
                whole = self.first_answer(request)
                if whole is not None:
                    connection.sendall(whole)
                    return
                self.endless_runs += 1
                first, repeated = FORMS[self.form](request)
                connection.sendall(first)
                while True:
                    connection.sendall(repeated)
            except OSError:
                pass  # The gateway has closed the connection.


def _read_request(connection: socket.socket) -> Request | None:
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return None
        data += part
    lines = data.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:])
    headers = {name.lower(): value.strip() for name, _, value in fields}
    return Request(lines[0].split()[1], headers)


def main(form: str, count: str) -> None:
    print(*(EndlessEndpoint(form).address for _ in range(int(count))), flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main(*sys.argv[1:])
