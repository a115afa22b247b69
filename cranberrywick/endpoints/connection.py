"""HTTP connections to endpoints on which one absolute deadline bounds every wait."""

import socket
import time
from collections.abc import Callable
from io import BufferedReader

from cranberrywick.addresses import parse_address
from cranberrywick.errors import CallerGone, EndpointRefused, TimedOut
from cranberrywick.external.bounded_http import BoundedConnection
from cranberrywick.model import EndpointRefusal, Executed

__all__ = ["CONNECT_SECONDS", "EndpointConnection", "connect"]

# Timeout of connecting, in seconds.  A live endpoint accepts within a round trip,
# which takes milliseconds inside a region.  One second covers one lost SYN (the
# kernel sends it again after 1 s at the latest) and leaves time within a
# first-token target of 1.7 s to try another endpoint.
CONNECT_SECONDS = 1.0
# Interval at which a thread that waits for an endpoint checks whether its caller is
# still connected, in seconds.
CALLER_CHECK_SECONDS = 0.25


class _DeadlineSocket(socket.socket):
    """A socket whose operations all share one absolute deadline.

    With a timeout for each operation, an endpoint that sends one byte at a time
    could make its caller wait without limit. Here each read has only the time
    that earlier reads have not used.

    ``deadline`` is in seconds of `time.monotonic`; None lifts the bound.
    ``disconnected`` is polled while a read waits; once it returns True, the read
    raises `CallerGone`.
    """

    deadline: float | None = 0.0
    reader: BufferedReader | None = None
    disconnected: Callable[[], bool] | None = None

    def makefile(self, mode: str = "r", *args, **kwargs):
        """Return a file and keep it: its buffer may hold the body's first bytes."""
        self.reader = super().makefile(mode, *args, **kwargs)
        return self.reader

    def recv_into(self, *args, **kwargs) -> int:
        while True:
            self._apply_timeout()
            try:
                return super().recv_into(*args, **kwargs)
            except TimeoutError:
                # Either one interval of the wait has ended or the deadline has
                # passed; in the latter case `_apply_timeout` raises on the next turn.
                if self.disconnected is not None and self.disconnected():
                    raise CallerGone("the caller hung up") from None

    def sendall(self, *args, **kwargs) -> None:
        self._apply_timeout(polls_caller=False)
        super().sendall(*args, **kwargs)

    def _apply_timeout(self, polls_caller: bool = True) -> None:
        if self.deadline is None:
            return
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("deadline passed")
        self.settimeout(
            min(remaining, CALLER_CHECK_SECONDS) if polls_caller else remaining
        )


class EndpointConnection(BoundedConnection):
    """A connection for one exchange that keeps its socket until it is closed.

    The HTTP library drops its reference to the socket as soon as it has read
    response headers with ``Connection: close``; `release` still needs the socket.
    """

    def __init__(self, host: str, port: int, sock: _DeadlineSocket):
        super().__init__(host, port)
        self.sock = sock
        self.raw_sock = sock

    def release(self) -> tuple[socket.socket, bytes]:
        """Return the socket, now non-blocking, and the body bytes already read."""
        sock = self.raw_sock
        sock.deadline = None
        sock.setblocking(False)
        # A peek returns what is buffered and reads only when nothing is.
        return sock, sock.reader.peek() if sock.reader else b""


def connect(
    address: str, deadline: float, disconnected: Callable[[], bool] | None = None
) -> EndpointConnection:
    """Return a new connection to ``address``, an IP address and port.

    ``deadline`` is in seconds of `time.monotonic` and bounds all operations on the
    connection.

    Connections are not reused.  A connection kept from an earlier request may still
    carry that request's late answer, which the next caller would then receive.  If
    the endpoint has just closed a kept connection, it stays unknown whether a
    request sent on it ran.  At the design size a daemon sends about 17 requests a
    second, so one more round trip for each costs less than these faults.

    Raises `EndpointRefused` when the connection fails and `TimedOut` when the
    deadline passes first; both state that the request did not run, since none of
    its bytes were sent.
    """
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        raise TimedOut("no time left to connect", executed=Executed.NO)
    try:
        host, port = parse_address(address, allows_ipv6=True)
    except ValueError as error:
        raise EndpointRefused(
            f"no connection: {error}", reason=EndpointRefusal.UNREACHABLE
        ) from error
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = _DeadlineSocket(family, socket.SOCK_STREAM)
    sock.deadline = deadline
    sock.disconnected = disconnected
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(min(remaining, CONNECT_SECONDS))
        sock.connect((host, port))
    except OSError as error:
        sock.close()
        if time.monotonic() >= deadline:
            raise TimedOut("deadline passed", executed=Executed.NO) from error
        raise EndpointRefused(
            f"no connection to {address}: {error}", reason=EndpointRefusal.UNREACHABLE
        ) from error
    return EndpointConnection(host, port, sock)
