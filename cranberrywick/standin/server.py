"""An HTTP server for stand-ins, with faults that tests set.

A stand-in subclasses `StandIn`, keeps its state in memory and answers requests in
`StandIn.handle`. `start` runs it on a thread of this process; `serve` runs it as a
process of its own and prints ``ready HOST:PORT``.

Faults are set through `StandIn.faults` or over HTTP:

- ``POST /faults {"kind", "count"?, "seconds"?, "path"?}`` sets one. It applies to
  the next ``count`` requests (without ``count``: until it is cleared) whose path
  starts with ``path``.
- ``DELETE /faults`` clears all faults and releases the requests they hold;
  ``DELETE /faults?kind=K`` does so for one kind.
- ``GET /faults`` lists the faults and the number of requests held, by kind.
- ``GET /counts`` returns the number of requests served, by kind of call.

A test holds a request at one point until it has made another event happen, which
forces an order that would otherwise depend on timing. Every stand-in has these kinds
of fault; each may add its own:

================== ==========================================================
outage             answer 503; do nothing
slow               wait ``seconds``, then continue as usual
hang               hold the request until released, then answer 503; do nothing
lose_next_request  close the connection; do nothing
hold_next_answer   do the work, then hold the answer until released
hold_next_write    as hold_next_answer, for requests other than GET
drop_next_answer   do the work of a request other than GET, then break off the
                   answer
nonsense           answer 200 with a body that is not JSON
================== ==========================================================
"""

import json
import signal
import threading
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple
from urllib.parse import parse_qsl

from waitress import wasyncore
from waitress.channel import ClientDisconnected
from waitress.server import create_server

from cranberrywick.standin.faults import Faults

__all__ = [
    "Answer",
    "BrokenAnswer",
    "Request",
    "RunningStandIn",
    "StandIn",
    "json_answer",
    "serve",
    "start",
]

# Server threads. Watches and held requests occupy one each; fleets are small.
THREADS = 96

# Largest request body that the server accepts, in bytes.
BODY_LIMIT_BYTES = 64 << 20


class BrokenAnswer(ClientDisconnected):
    """Raised by a body's iterator to make the server close the connection.

    It derives from the only exception for which waitress logs no traceback.
    """


class Request(NamedTuple):
    """One request; header names are in lower case.

    ``client_disconnected()`` returns whether the client has closed the connection.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client_disconnected: Callable[[], bool]

    def json(self) -> dict:
        """Return the decoded JSON body, or an empty object without a body."""
        return json.loads(self.body) if self.body else {}


class Answer(NamedTuple):
    """An HTTP response; an iterable body is sent part by part as it is produced."""

    status: int
    body: bytes | Iterable[bytes] = b""
    headers: tuple[tuple[str, str], ...] = ()


def json_answer(status: int, value: object, *headers: tuple[str, str]) -> Answer:
    """Return an answer with a JSON body."""
    body = json.dumps(value).encode()
    return Answer(status, body, (("Content-Type", "application/json"), *headers))


class StandIn(ABC):
    """Base of the replacements for external systems, for tests and the demo."""

    def __init__(self):
        self.faults = Faults()
        self._counts_lock = threading.Lock()
        self._counts_by_kind: Counter[str] = Counter()

    @abstractmethod
    def handle(self, request: Request) -> Answer:
        """Answer one request; called from many threads at once."""

    def kind_of(self, request: Request) -> str:
        """Return the kind of call under which the request is counted."""
        return f"{request.method} {request.path}"

    def stopping(self) -> None:  # noqa: B027
        """Wake threads that wait inside `handle`; the server is stopping."""

    @property
    def counts_by_kind(self) -> dict[str, int]:
        """The number of requests served so far, by kind of call."""
        with self._counts_lock:
            return dict(self._counts_by_kind)

    def answer(self, request: Request) -> Answer:
        """Answer one request, applying the faults in force."""
        if request.path == "/faults":
            return self._answer_faults(request)
        if request.path == "/counts":
            return json_answer(200, self.counts_by_kind)
        with self._counts_lock:
            self._counts_by_kind[self.kind_of(request)] += 1
        return self._fault_before(request) or self._answer_with_faults(request)

    def _fault_before(self, request: Request) -> Answer | None:
        if slow := self.faults.take("slow", request.path):
            self.faults.pause(slow.seconds)
        if self.faults.take("hang", request.path):
            self.faults.hold("hang")
            return json_answer(503, {"error": "hang"})
        if self.faults.take("outage", request.path):
            return json_answer(503, {"error": "outage"})
        if self.faults.take("lose_next_request", request.path):
            return broken_answer()
        if self.faults.take("nonsense", request.path):
            return Answer(200, b"\x00 this is not JSON {")
        return None

    def _answer_with_faults(self, request: Request) -> Answer:
        answer = self.handle(request)
        is_write = request.method != "GET"
        if self.faults.take("hold_next_answer", request.path):
            self.faults.hold("hold_next_answer")
        if is_write and self.faults.take("hold_next_write", request.path):
            self.faults.hold("hold_next_write")
        if is_write and self.faults.take("drop_next_answer", request.path):
            return broken_answer()
        return answer

    def _answer_faults(self, request: Request) -> Answer:
        if request.method == "POST":
            fields = request.json()
            self.faults.set(fields.pop("kind"), **fields)
        elif request.method == "DELETE":
            self.faults.clear(request.query.get("kind"))
        return json_answer(200, self.faults.describe())


def broken_answer() -> Answer:
    """Return an answer that ends before its stated length."""

    def body() -> Iterator[bytes]:
        yield b"{"
        raise BrokenAnswer

    return Answer(200, body(), (("Content-Length", "1000"),))


class RunningStandIn:
    """A stand-in that serves on a thread of this process."""

    def __init__(self, standin: StandIn, listen: str, threads: int):
        self.standin = standin
        self._server = create_server(
            self._application,
            listen=listen,
            threads=threads,
            ident=None,
            channel_request_lookahead=1,
            max_request_body_size=BODY_LIMIT_BYTES,
            inbuf_overflow=BODY_LIMIT_BYTES,
        )
        self._stop_asked = False
        self._stopping = False
        self._stop_pulled = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"standin-{self.address}", daemon=True
        )
        self._thread.start()

    @property
    def address(self) -> str:
        """The address it listens on, as ``host:port``."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    @property
    def url(self) -> str:
        """The address it listens on, as a URL without a path."""
        return f"http://{self.address}"

    def drop_connections(self) -> None:
        """Close every connection, as a server does with idle ones."""
        closed = threading.Event()

        def close() -> None:
            for channel in list(self._server.active_channels.values()):
                channel.handle_close()
            closed.set()

        # Connections may be closed only on the server's loop thread.
        self._server.trigger.pull_trigger(close)
        closed.wait(10.0)

    def stop(self) -> None:
        """Release held requests, then close the listener and every connection.

        A second call does nothing.
        """
        if self._stop_asked:
            return
        self._stop_asked = True
        self.standin.faults.close()
        self.standin.stopping()
        # The flag is set on the loop's thread. Set here, it could be seen by the loop
        # when its 1-second poll ends, and the loop would close the trigger before it
        # is pulled, which fails.
        self._server.trigger.pull_trigger(self._set_stopping)
        self._stop_pulled.set()
        self._thread.join(10.0)

    def _set_stopping(self) -> None:
        self._stopping = True

    def _run(self) -> None:
        while not self._stopping:
            wasyncore.loop(timeout=1.0, map=self._server._map, count=1, use_poll=True)
        # The loop may see the flag before the trigger has been written to.
        self._stop_pulled.wait(10.0)
        self._server.task_dispatcher.shutdown(timeout=2.0)
        wasyncore.close_all(self._server._map, ignore_all=True)

    def _application(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        answer = self.standin.answer(_read_request(environ))
        headers = list(answer.headers)
        body = answer.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        start_response(f"{answer.status} Status", headers)
        return body


def _read_request(environ: dict) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(parse_qsl(environ["QUERY_STRING"], keep_blank_values=True)),
        headers,
        environ["wsgi.input"].read(),
        environ.get("waitress.client_disconnected", lambda: False),
    )


def start(
    standin: StandIn, listen: str = "127.0.0.1:0", threads: int = THREADS
) -> RunningStandIn:
    """Serve a stand-in on a thread of this process and return the running server.

    >>> running = start(KeyValueStandIn())
    >>> running.address
    '127.0.0.1:40213'
    >>> running.stop()
    """
    return RunningStandIn(standin, listen, threads)


def serve(standin: StandIn, listen: str) -> None:
    """Serve a stand-in until SIGTERM or SIGINT, as the main function of a process."""
    finished = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: finished.set())
    running = start(standin, listen)
    print(f"ready {running.address}", flush=True)
    finished.wait()
    running.stop()
