"""The limits of the HTTP front and the server that enforces them.

The figures are for one of 320 daemons that together receive 5,400 requests and relay
2.1 million tokens a second: 17 requests and 6,600 tokens a second each.
docs/design/relay.md derives them.
"""

import socket
from collections.abc import Callable
from typing import Any

from waitress.server import create_server

__all__ = ["MAX_BODY_BYTES", "WAITRESS_SETTINGS", "create_http_server"]

KIB = 1024
MIB = 1024 * KIB

# Largest request body, in bytes. A million tokens are about 4 MB of English text;
# JSON escapes and scripts outside ASCII take up to four times as much.
MAX_BODY_BYTES = 16 * MIB

# Size of a connection's send buffer in the kernel, in bytes. Without this limit the
# kernel grows the buffer to several megabytes, and a caller that reads one byte a
# second is detected only after minutes.
SEND_BUFFER_BYTES = 64 * KIB

# Keyword arguments of `waitress.server.create_server`.
WAITRESS_SETTINGS: dict[str, Any] = {
    # Each request occupies one thread from its first to its last byte. 6,600 tokens
    # a second, one every 61 ms in each stream, are 400 streams. A tenth is added for
    # the loss of one of ten failure domains, about 50 threads for requests that wait
    # for a first token, and a third in reserve.
    "threads": 640,
    # One connection for each thread, connections kept open between requests (17 a
    # second for `channel_timeout` seconds), and the rest for callers that connect
    # and send nothing yet.
    "connection_limit": 2000,
    "channel_timeout": 30,
    "backlog": 1024,
    "max_request_body_size": MAX_BODY_BYTES,
    # Waitress writes a larger body to a temporary file, which on a diskless VM takes
    # up memory too. No body reaches this size: `max_request_body_size` is lower.
    "inbuf_overflow": MAX_BODY_BYTES + 1,
    # From this many unsent bytes on, a write blocks its thread until the caller
    # reads. Answers that are not streamed stay below it, and the relay stops a
    # stream whose caller does not read long before.
    "outbuf_high_watermark": 16 * MIB,
    "outbuf_overflow": 64 * MIB,
    # With 0, a connection is not read while its request runs, and a caller's
    # disconnection is never detected.
    "channel_request_lookahead": 1,
    # select() can't handle descriptors above 1,023.
    "asyncore_use_poll": True,
    "ident": None,
    "expose_tracebacks": False,
}


def create_http_server(application: Callable, listen: str, **overrides: Any):
    """Return a waitress server that runs a WSGI application with these limits.

    ``listen`` is ``ip:port``; ``overrides`` replace entries of `WAITRESS_SETTINGS`.

    >>> server = create_http_server(application, "127.0.0.1:0", threads=20)
    >>> server.effective_port
    40213
    """
    server = create_server(
        application, listen=listen, **{**WAITRESS_SETTINGS, **overrides}
    )
    # Accepted connections inherit the buffer size from the listener.
    server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return server
