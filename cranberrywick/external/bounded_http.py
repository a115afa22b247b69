"""HTTP connections on which few interim responses may precede an answer.

Load pattern: a faulty endpoint or service sends interim responses, such as 100
(Continue), without end. The HTTP library skips them for as long as they come, so that
no timeout of a read ever fires and the calling thread is kept busy.
"""

from http.client import BadStatusLine, HTTPResponse

from urllib3 import HTTPConnectionPool, HTTPSConnectionPool, PoolManager
from urllib3.connection import HTTPConnection, HTTPSConnection

from cranberrywick.routing.answer_limits import MAX_INTERIM_RESPONSES

__all__ = ["BoundedConnection", "BoundedResponse", "bounded_pool_manager"]


class BoundedResponse(HTTPResponse):
    """A response that raises `BadStatusLine` after too many interim ones."""

    _status_lines = 0

    def _read_status(self) -> tuple[str, int, str]:
        self._status_lines += 1
        if self._status_lines > MAX_INTERIM_RESPONSES + 1:
            raise BadStatusLine("too many interim responses")
        return super()._read_status()


class BoundedConnection(HTTPConnection):
    """A connection to one address."""

    response_class = BoundedResponse


class _BoundedTlsConnection(HTTPSConnection):
    response_class = BoundedResponse


class _BoundedPool(HTTPConnectionPool):
    ConnectionCls = BoundedConnection


class _BoundedTlsPool(HTTPSConnectionPool):
    ConnectionCls = _BoundedTlsConnection


def bounded_pool_manager(**options: object) -> PoolManager:
    """Return a pool of such connections; options are those of `urllib3.PoolManager`."""
    manager = PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": _BoundedPool, "https": _BoundedTlsPool}
    return manager
