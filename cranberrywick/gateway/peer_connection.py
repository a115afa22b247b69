"""The HTTP/1.1 client for requests that are forwarded to a peer."""

import asyncio

import h11

from cranberrywick.errors import AmbiguousSend, AnswerLost, EndpointRefused
from cranberrywick.gateway.upstream import EndpointConnection
from cranberrywick.model import EndpointRefusal

__all__ = ["PeerConnection"]


class PeerConnection(EndpointConnection):
    """The connection for one forwarded request to the peer at ``ip:port``.

    A VM that is frozen or cut off accepts connections for a while, and what was sent to
    it may be executed when it wakes. The end of the request is therefore sent only
    after the peer has answered its head: a request that lacks its end never runs.

    >>> async with PeerConnection("10.0.0.9:7341") as connection:
    ...     await connection.open(timeout=0.3)
    ...     await connection.offer(b"POST", b"/x", headers, timeout=0.3)
    ...     connection.send_body(b"{}")
    ...     answer = await connection.read_head()
    """

    async def offer(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        timeout: float,
    ) -> None:
        """Send the head of a request; return once the peer accepts the rest.

        Raises `EndpointRefused` if it does not within ``timeout`` seconds.
        """
        framing = [
            (b"Connection", b"close"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Expect", b"100-continue"),
        ]
        request = h11.Request(method=method, target=target, headers=headers + framing)
        self._write(self._http.send(request))
        try:
            async with asyncio.timeout(timeout):
                event = await self._next_event()
        except (AmbiguousSend, AnswerLost, TimeoutError) as error:
            raise _refused(f"no answer to the head: {error!s:.80}") from error
        if not isinstance(event, h11.InformationalResponse):
            raise _refused(f"the head was answered by {event!s:.80}")

    def send_body(self, body: bytes) -> None:
        """Send the rest of the request, after which the peer may execute it."""
        data = self._http.send(h11.Data(data=body)) if body else b""
        self.sent = True
        self._write(data + self._http.send(h11.EndOfMessage()))


def _refused(message: str) -> EndpointRefused:
    return EndpointRefused(message, reason=EndpointRefusal.UNREACHABLE)
