"""Requests of callers, as the ingress passes them to its handler."""

from typing import NamedTuple

import h11

from cranberrywick.routing.model import RequestLimits

__all__ = ["DEFAULT_LIMITS", "HttpRequest", "encode_refusal", "head_bytes"]

# In force until the first configuration has been read.
DEFAULT_LIMITS = RequestLimits(
    header_bytes=16384, body_bytes=4194304, header_seconds=3.0, idle_seconds=15.0
)


class HttpRequest(NamedTuple):
    """One request of a caller, its body fully received.

    ``target`` is the request target as the caller encoded it. ``headers`` have lower
    case names, ``raw_headers`` the caller's spelling. ``arrived`` is the event loop's
    time, in seconds, when the head was complete, and ``received`` when all of it was.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    raw_headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived: float
    received: float

    @classmethod
    def of_head(
        cls, head: h11.Request, body: bytes, arrived: float, received: float
    ) -> "HttpRequest":
        """Return the request with a head that h11 has read."""
        return cls(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=[(bytes(n), bytes(v)) for n, v in head.headers],
            raw_headers=[(bytes(n), bytes(v)) for n, v in head.headers.raw_items()],
            body=body,
            arrived=arrived,
            received=received,
        )

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a lower case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def head_bytes(head: h11.Request) -> int:
    """Return about how many bytes the method, the target and the headers have."""
    lines = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + lines


def encode_refusal(headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Return a whole answer with status 503, after which its connection is closed."""
    lines = b"".join(b"%s: %s\r\n" % header for header in headers)
    return b"HTTP/1.1 503 \r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (
        lines,
        len(body),
        body,
    )
