"""HTTP connections that take no answer for whole whose head has no end.

Three things that the HTTP library accepts are refused. A faulty endpoint or service
sends interim responses, such as 100 (Continue), without end: the library skips them for
as long as they come, so that no timeout of a read ever fires. Or it closes in the
middle of a head: the library takes the end of the connection for that of the headers,
and what is left of them, without a length, for those of a whole and empty answer. Or it
names a transfer coding besides chunks: the library then takes the chunks for the body.
"""

from collections.abc import Iterable
from http.client import (
    BadStatusLine,
    HTTPResponse,
    IncompleteRead,
    UnknownTransferEncoding,
)
from io import BufferedReader
from typing import Any

from urllib3 import (
    BaseHTTPResponse,
    HTTPConnectionPool,
    HTTPSConnectionPool,
    PoolManager,
)
from urllib3.connection import HTTPConnection, HTTPSConnection

from cranberrywick.routing.answer_limits import MAX_INTERIM_RESPONSES

__all__ = [
    "BoundedConnection",
    "BoundedPool",
    "BoundedResponse",
    "bounded_pool_manager",
    "has_marked_end",
]


class _WholeLines:
    """The bytes of an answer, whose lines have to be whole.

    These are the lines of the head, and the sizes of chunks: one of which a part has
    come may look like the last one.
    """

    def __init__(self, file: BufferedReader):
        self._file = file
        self._begun = False

    def readline(self, limit: int = -1) -> bytes:
        """Return a line; raises `IncompleteRead` if the connection ends within it.

        An answer of which nothing has come has no line, which is returned as empty.
        """
        line = self._file.readline(limit)
        is_cut = not line.endswith(b"\n") and len(line) != limit
        if is_cut and (line or self._begun):
            raise IncompleteRead(line)
        self._begun = True
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class BoundedResponse(HTTPResponse):
    """A response that raises `IncompleteRead` if its head has no end.

    After too many interim responses it raises `BadStatusLine`, and for a transfer
    coding that isn't decoded `UnknownTransferEncoding`.
    """

    _status_lines = 0

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.fp = _WholeLines(self.fp)

    def _read_status(self) -> tuple[str, int, str]:
        self._status_lines += 1
        if self._status_lines > MAX_INTERIM_RESPONSES + 1:
            raise BadStatusLine("too many interim responses")
        return super()._read_status()

    def begin(self) -> None:
        """Read the head; called by the library."""
        super().begin()
        # The library decodes chunks only if the header says nothing else, not even a
        # space; else it forwards them as they come, to wherever the connection ends.
        codings = _transfer_codings(self.headers.get_all("Transfer-Encoding", ()))
        if not self.chunked and codings:
            if codings != ["chunked"]:
                raise UnknownTransferEncoding(", ".join(codings))
            self.chunked, self.chunk_left, self.length = True, None, None


class BoundedConnection(HTTPConnection):
    """A connection to one address."""

    response_class = BoundedResponse


class _BoundedTlsConnection(HTTPSConnection):
    response_class = BoundedResponse


class BoundedPool(HTTPConnectionPool):
    """Connections to one address."""

    ConnectionCls = BoundedConnection


class _BoundedTlsPool(HTTPSConnectionPool):
    ConnectionCls = _BoundedTlsConnection


def bounded_pool_manager(**options: object) -> PoolManager:
    """Return a pool of such connections; options are those of `urllib3.PoolManager`."""
    manager = PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": BoundedPool, "https": _BoundedTlsPool}
    return manager


def _transfer_codings(values: Iterable[str]) -> list[str]:
    names = [name.strip().lower() for value in values for name in value.split(",")]
    return [name for name in names if name not in ("", "identity")]


def has_marked_end(response: BaseHTTPResponse) -> bool:
    """Return whether the end of a body is marked, so that a cut is noticed.

    A body that ends when the connection closes looks whole wherever it breaks, and so
    does one whose length can't be read.
    """
    if _transfer_codings([response.headers.get("Transfer-Encoding", "")]):
        return True
    # The library refuses several lengths unless they are the same.
    lengths = response.headers.get("Content-Length", "").split(",")
    return all(each.strip().isascii() and each.strip().isdigit() for each in lengths)
