"""Client of the key-value service: compare-and-swap, leases and watches."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import quote

from cranberrywick.errors import (
    CranberrywickError,
    PlatformUnavailable,
    VersionConflict,
)
from cranberrywick.external.exchange import (
    AmbiguousWrite,
    PlatformClient,
    RateLimited,
    Reply,
    no_answer_error,
)
from cranberrywick.fields import FIELD_ERRORS

__all__ = [
    "KEY_VALUE_STORES",
    "AmbiguousWrite",
    "Entry",
    "HttpKeyValueStore",
    "KeyValueStore",
    "Lease",
    "LeaseLapsed",
    "Listing",
    "RateLimited",
    "RevisionConflict",
    "WatchAnswer",
    "WatchEvent",
    "open_key_value_store",
    "register_key_value_store",
]


class Entry(NamedTuple):
    """One key as it was read.

    A key that does not exist has the value None and revision 0. With 0 as
    ``expected_revision`` `KeyValueStore.put` writes only a key that does not exist.
    """

    key: str
    value: str | None
    revision: int
    store_revision: int


class Listing(NamedTuple):
    """The keys under a prefix at one moment."""

    entries: tuple[Entry, ...]
    store_revision: int


class WatchEvent(NamedTuple):
    """One change of a key; ``value`` is None when the key was deleted."""

    key: str
    value: str | None
    revision: int


class WatchAnswer(NamedTuple):
    """Changes in the order of their revisions; none if the wait ended without any."""

    events: tuple[WatchEvent, ...]
    store_revision: int


class Lease(NamedTuple):
    """A lease, valid for ``ttl_seconds`` from the moment of the request for it."""

    lease_id: str
    ttl_seconds: float


class RevisionConflict(VersionConflict):
    """The key was changed since it was read; ``current`` is the key as it is now."""

    def __init__(self, current: Entry):
        super().__init__(f"{current.key} is at revision {current.revision}")
        self.current = current


class LeaseLapsed(CranberrywickError):
    """The platform has no such lease; its keys are deleted or soon will be."""

    type = "lease_lapsed"


class KeyValueStore(ABC):
    """A store of small values by key, shared by the whole fleet.

    Every method raises `PlatformUnavailable` when nothing was done. A write raises
    `AmbiguousWrite` when it may have taken effect: read the key to find out instead of
    merely repeating the write.
    """

    @abstractmethod
    def get(self, key: str) -> Entry:
        """Read one key; the answer may be stale."""

    @abstractmethod
    def list(self, prefix: str) -> Listing:
        """Read every key under a prefix."""

    @abstractmethod
    def put(
        self,
        key: str,
        value: str,
        *,
        expected_revision: int | None = None,
        lease: str | None = None,
    ) -> int:
        """Write a key of at most 1 MiB and return its revision.

        With ``expected_revision`` it raises `RevisionConflict` unless the key is at
        that revision. With ``lease``, the id of a lease, the key is deleted when the
        lease lapses; `LeaseLapsed` is raised if it has lapsed already.
        """

    @abstractmethod
    def delete(self, key: str, *, expected_revision: int | None = None) -> None:
        """Delete a key; deleting one that does not exist is no error."""

    @abstractmethod
    def watch(self, prefix: str, after: int, wait_seconds: float) -> WatchAnswer:
        """Wait up to ``wait_seconds`` for changes with a revision above ``after``."""

    @abstractmethod
    def grant_lease(self, ttl_seconds: float) -> Lease:
        """Create a lease of ``ttl_seconds``."""

    @abstractmethod
    def keep_alive(self, lease_id: str) -> Lease:
        """Renew a lease; raises `LeaseLapsed`."""

    @abstractmethod
    def end_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""


KEY_VALUE_STORES: dict[str, Callable[[tuple[str, ...]], KeyValueStore]] = {}


def register_key_value_store(scheme: str) -> Callable[[type], type]:
    """Return a decorator that registers a class of stores for a URL scheme."""

    def register(store: type) -> type:
        KEY_VALUE_STORES[scheme] = store
        return store

    return register


def open_key_value_store(urls: tuple[str, ...]) -> KeyValueStore:
    """Return the store behind the addresses, which share one scheme.

    >>> open_key_value_store(("http://127.0.0.1:2379",)).get("config/current")
    Entry(key='config/current', value=None, revision=0, store_revision=0)
    """
    return KEY_VALUE_STORES[urls[0].partition(":")[0]](urls)


@register_key_value_store("http")
class HttpKeyValueStore(KeyValueStore):
    """Client of the key-value service over HTTP."""

    def __init__(self, urls: tuple[str, ...]):
        self._client = PlatformClient(urls)

    def get(self, key: str) -> Entry:
        """Read one key; the answer may be stale."""
        reply = self._request("GET", _path(key))
        return _parse_answer("GET", _entry, key, reply.fields)

    def list(self, prefix: str) -> Listing:
        """Read every key under a prefix."""
        reply = self._request("GET", "/v1/keys", query={"prefix": prefix})
        return _parse_answer("GET", _listing, reply.fields)

    def put(
        self,
        key: str,
        value: str,
        *,
        expected_revision: int | None = None,
        lease: str | None = None,
    ) -> int:
        """Write a key of at most 1 MiB and return its revision."""
        fields: dict = {"value": value}
        if expected_revision is not None:
            fields["expected_revision"] = expected_revision
        if lease is not None:
            fields["lease"] = lease
        reply = self._request("PUT", _path(key), fields=fields)
        if reply.status == 404:
            raise LeaseLapsed(f"lease {lease} has lapsed")
        _raise_on_conflict(key, reply)
        return _parse_answer("PUT", lambda: int(reply.fields["revision"]))

    def delete(self, key: str, *, expected_revision: int | None = None) -> None:
        """Delete a key; deleting one that does not exist is no error."""
        fields = {}
        if expected_revision is not None:
            fields["expected_revision"] = expected_revision
        reply = self._request("DELETE", _path(key), fields=fields)
        _raise_on_conflict(key, reply)

    def watch(self, prefix: str, after: int, wait_seconds: float) -> WatchAnswer:
        """Wait up to ``wait_seconds`` for changes with a revision above ``after``."""
        query = {"prefix": prefix, "after": str(after), "wait": str(wait_seconds)}
        reply = self._request("GET", "/v1/watch", query=query, extra=wait_seconds)
        return _parse_answer("GET", _watch_answer, reply.fields)

    def grant_lease(self, ttl_seconds: float) -> Lease:
        """Create a lease of ``ttl_seconds``."""
        fields = {"ttl_seconds": ttl_seconds}
        reply = self._request("POST", "/v1/leases", fields=fields)
        return _parse_answer("POST", _lease, reply.fields)

    def keep_alive(self, lease_id: str) -> Lease:
        """Renew a lease; raises `LeaseLapsed`."""
        reply = self._request(
            "POST", f"/v1/leases/{quote(lease_id, safe='')}/keepalive"
        )
        if reply.status == 404:
            raise LeaseLapsed(f"lease {lease_id} has lapsed")
        return _parse_answer("POST", _lease, reply.fields)

    def end_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        self._request("DELETE", _lease_path(lease_id))

    def _request(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        fields: dict | None = None,
        extra: float = 0.0,
    ) -> Reply:
        reply = self._call(method, path, query, fields, extra)
        if reply.status not in (200, 404, 409):
            raise PlatformUnavailable(f"{method} {path}: status {reply.status}")
        return reply

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        fields: dict | None = None,
        extra: float = 0.0,
    ) -> Reply:
        """Make one call. All network access goes through here; tests replace it."""
        return self._client.call(method, path, query, fields, extra)


def _path(key: str) -> str:
    return "/v1/keys/" + quote(key)


def _lease_path(lease_id: str) -> str:
    return "/v1/leases/" + quote(lease_id, safe="")


def _parse_answer(method: str, read: Callable, *args: object):
    """Return what ``read`` makes of an answer; a malformed one counts as no answer."""
    try:
        return read(*args)
    except FIELD_ERRORS as error:
        raise no_answer_error(method, f"malformed answer: {error!r}") from error


def _raise_on_conflict(key: str, reply: Reply) -> None:
    if reply.status == 409:
        revision = _parse_answer("GET", lambda: int(reply.fields["revision"]))
        raise RevisionConflict(
            Entry(key, reply.fields.get("value"), revision, revision)
        )


def _entry(key: str, fields: dict) -> Entry:
    value = fields.get("value")
    if value is not None and not isinstance(value, str):
        raise TypeError("value is not a string")
    revision = int(fields.get("revision", 0))
    return Entry(key, value, revision, int(fields["store_revision"]))


def _listing(fields: dict) -> Listing:
    revision = int(fields["store_revision"])
    entries = tuple(
        _entry(row["key"], {**row, "store_revision": revision})
        for row in fields["entries"]
    )
    return Listing(entries, revision)


def _watch_answer(fields: dict) -> WatchAnswer:
    events = tuple(
        WatchEvent(str(event["key"]), event["value"], int(event["revision"]))
        for event in fields["events"]
    )
    return WatchAnswer(events, int(fields["store_revision"]))


def _lease(fields: dict) -> Lease:
    return Lease(str(fields["lease"]), float(fields["ttl_seconds"]))
