"""The relay process of the benchmark: waitress and the daemon's relay alone."""

import itertools
from collections.abc import Callable, Iterable

from cranberrywick.endpoints.client import Answer, Call, send
from cranberrywick.endpoints.relay import Relay
from cranberrywick.http_limits import create_http_server

__all__ = ["serve_relay"]

# Time left for a call to the source, in seconds.
REMAINING_SECONDS = 600.0


class _Application:
    """Forwards every request to the source.

    In ``mode`` "relay" the daemon's relay forwards the answer, in any other the thread
    of the request.
    """

    def __init__(self, source: str, mode: str):
        self.source = source
        self.pump = mode == "relay"
        self.relay = Relay()
        self._numbers = itertools.count()
        if self.pump:
            self.relay.start()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        call = Call(
            request_id=f"bench-{next(self._numbers)}",
            attempt=1,
            method="POST",
            path="/v1/chat/completions",
            body=environ["wsgi.input"].read(),
            headers={"Content-Type": "application/json"},
            remaining_seconds=REMAINING_SECONDS,
            idempotent=True,
            stream=True,
        )
        answer = send(self.source, call)
        write = start_response("200 OK", [("Content-Type", "text/event-stream")])
        if not self.pump:
            return _forward(answer)
        try:
            connected = environ["waitress.client_disconnected"]
            self.relay.pump(answer, write, connected)
        finally:
            answer.close()
        return []


def _forward(answer: Answer) -> Iterable[bytes]:
    """Yield the answer's chunks, which the request's own thread reads and writes."""
    try:
        yield from answer.chunks()
    finally:
        answer.close()


def serve_relay(source: str, mode: str) -> None:
    """Serve a relay to ``source`` until the process ends."""
    settings = {"threads": 1050, "connection_limit": 4000}
    if mode == "plain-lookahead-0":
        settings["channel_request_lookahead"] = 0
    application = _Application(source, mode)
    server = create_http_server(application, "127.0.0.1:0", **settings)
    print(f"ready 127.0.0.1:{server.effective_port}", flush=True)
    server.run()
