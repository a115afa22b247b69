"""Faults that a test sets on a stand-in, some to force an order of events."""

import threading
from collections import Counter
from typing import NamedTuple

__all__ = ["Fault", "Faults"]

# Longest time a request is held, in seconds, in case a test never releases it.
HOLD_LIMIT_SECONDS = 60.0


class Fault(NamedTuple):
    """One fault in force.

    It applies to requests whose path starts with ``path``: to the next ``remaining``
    of them, or to all until it is cleared when that is None. ``details`` are the
    further parameters of its kind.
    """

    kind: str
    remaining: int | None = None
    seconds: float = 0.0
    path: str = ""
    details: dict = {}


class Faults:
    """The faults in force and the requests held by them; thread-safe."""

    def __init__(self):
        # Guards every attribute; wakes held requests and the callers of `wait_held`.
        self._changed = threading.Condition()
        self._faults: list[Fault] = []
        self._held_by_kind: Counter[str] = Counter()
        self._releases_by_kind: Counter[str] = Counter()
        self._closed = False

    def set(
        self,
        kind: str,
        *,
        count: int | None = None,
        seconds: float = 0.0,
        path: str = "",
        **details: object,
    ) -> None:
        """Put a fault in force.

        >>> faults.set("slow", count=2, seconds=0.5, path="/v1/keys")
        """
        with self._changed:
            self._faults.append(Fault(kind, count, seconds, path, details))

    def take(self, kind: str, path: str) -> Fault | None:
        """Return the fault of this kind that applies to a request, or None.

        A call uses up one of the fault's remaining requests.
        """
        with self._changed:
            for index, fault in enumerate(self._faults):
                if fault.kind != kind or not path.startswith(fault.path):
                    continue
                if fault.remaining is not None:
                    left = fault.remaining - 1
                    self._faults[index] = fault._replace(remaining=left)
                    if left <= 0:
                        del self._faults[index]
                return fault
        return None

    def hold(self, kind: str) -> None:
        """Block until the kind is cleared or the stand-in stops.

        It takes at most `HOLD_LIMIT_SECONDS`.
        """
        with self._changed:
            releases = self._releases_by_kind[kind]
            self._held_by_kind[kind] += 1
            self._changed.notify_all()
            self._changed.wait_for(
                lambda: self._closed or self._releases_by_kind[kind] != releases,
                HOLD_LIMIT_SECONDS,
            )
            self._held_by_kind[kind] -= 1
            self._changed.notify_all()

    def wait_held(self, kind: str, count: int = 1, timeout: float = 30.0) -> bool:
        """Wait until ``count`` requests are held; return whether they are.

        ``timeout`` is in seconds.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._held_by_kind[kind] >= count, timeout
            )

    def pause(self, seconds: float) -> None:
        """Sleep, but end early when the stand-in stops."""
        with self._changed:
            self._changed.wait_for(lambda: self._closed, seconds)

    def clear(self, kind: str | None = None) -> None:
        """Remove the faults of a kind, or all, and release the requests they hold."""
        with self._changed:
            kept = [f for f in self._faults if kind is not None and f.kind != kind]
            self._faults = kept
            for held in list(self._held_by_kind):
                if kind is None or held == kind:
                    self._releases_by_kind[held] += 1
            self._changed.notify_all()

    def close(self) -> None:
        """Remove all faults and release all held requests; the stand-in is stopping."""
        with self._changed:
            self._closed = True
            self._faults = []
            self._changed.notify_all()

    @property
    def closed(self) -> bool:
        """Whether the stand-in is stopping."""
        return self._closed

    def describe(self) -> dict:
        """Return the faults and the held requests for ``GET /faults``."""
        with self._changed:
            listed = [
                {
                    "kind": fault.kind,
                    "count": fault.remaining,
                    "seconds": fault.seconds,
                    "path": fault.path,
                    **fault.details,
                }
                for fault in self._faults
            ]
            return {"faults": listed, "held": dict(+self._held_by_kind)}
