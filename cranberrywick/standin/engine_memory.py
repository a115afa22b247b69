"""Memory of the engine stand-in: prefix cache, exports and imports."""

import itertools
import time
from collections import OrderedDict, deque
from dataclasses import dataclass

from cranberrywick.prompts import PREFIX_BLOCK_TOKENS

__all__ = ["PrefixCache", "Reservation", "Reservations"]

# Number of cache events kept for pollers.
EVENTS_KEPT = 10_000


class PrefixCache:
    """Keys of cached blocks of prompts, evicted by least recent use.

    Not thread-safe; the engine calls it with its own lock held. ``seq`` counts the
    events (a block added or dropped). The next ``events_to_lose`` events are not
    kept for pollers, who see a gap in the sequence.
    """

    def __init__(self, capacity_tokens: int):
        self.capacity_tokens = capacity_tokens
        self.seq = 0
        self._keys: OrderedDict[str, None] = OrderedDict()
        self._events: deque[dict] = deque(maxlen=EVENTS_KEPT)
        self.events_to_lose = 0

    @property
    def keys(self) -> list[str]:
        """The cached keys, least recently used first."""
        return list(self._keys)

    def hit_tokens(self, keys: tuple[str, ...]) -> int:
        """Return how many leading tokens of a prompt are cached, given its keys."""
        hits = itertools.takewhile(self._keys.__contains__, keys)
        return PREFIX_BLOCK_TOKENS * len(list(hits))

    def add(self, keys: tuple[str, ...]) -> None:
        """Cache a prompt's blocks, dropping the least recently used to make room."""
        for key in keys:
            if key in self._keys:
                self._keys.move_to_end(key)
                continue
            self._keys[key] = None
            self._publish("add", key)
        while len(self._keys) * PREFIX_BLOCK_TOKENS > self.capacity_tokens:
            dropped, _ = self._keys.popitem(last=False)
            self._publish("drop", dropped)

    def clear(self) -> None:
        """Drop all keys and events, as a restart does, without an event."""
        self._keys.clear()
        self._events.clear()

    def events_after(self, seq: int) -> list[dict]:
        """Return the kept events after ``seq``."""
        return [event for event in self._events if event["seq"] > seq]

    def _publish(self, operation: str, key: str) -> None:
        self.seq += 1
        if self.events_to_lose > 0:
            self.events_to_lose -= 1
            return
        self._events.append({"seq": self.seq, "op": operation, "key": key})


@dataclass(frozen=True)
class Reservation:
    """Memory reserved for an export or import.

    ``expires_at`` is on the monotonic clock, in seconds. ``source`` names the export
    that an import reads; such an import uses no memory here, as the other engine
    holds it.
    """

    reservation_id: str
    owner: str
    tokens: int
    expires_at: float
    source: str = ""


class Reservations:
    """Exports or imports by id. Not thread-safe.

    Ids are ``prefix`` and a running number.
    """

    def __init__(self, prefix: str):
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._by_id: dict[str, Reservation] = {}

    @property
    def tokens(self) -> int:
        """Tokens of memory reserved here."""
        return sum(held.tokens for held in self._by_id.values() if not held.source)

    def add(
        self, owner: str, tokens: int, ttl_seconds: float, source: str = ""
    ) -> Reservation:
        """Reserve memory for ``owner``, for ``ttl_seconds``."""
        held = Reservation(
            f"{self._prefix}{next(self._numbers)}",
            owner,
            tokens,
            time.monotonic() + ttl_seconds,
            source,
        )
        self._by_id[held.reservation_id] = held
        return held

    def get(self, reservation_id: str) -> Reservation | None:
        """Return a reservation, or None when it has ended."""
        return self._by_id.get(reservation_id)

    def remove(self, reservation_id: str) -> bool:
        """End a reservation; return whether there was one."""
        return self._by_id.pop(reservation_id, None) is not None

    def expire(self) -> None:
        """End the reservations whose time is over."""
        now = time.monotonic()
        for held in list(self._by_id.values()):
            if held.expires_at <= now:
                self.remove(held.reservation_id)

    def describe(self) -> list[dict]:
        """Return the reservations as JSON objects."""
        now = time.monotonic()
        return [
            {
                "id": held.reservation_id,
                "owner": held.owner,
                "tokens": held.tokens,
                "expires_in": round(held.expires_at - now, 3),
            }
            for held in self._by_id.values()
        ]

    def clear(self) -> None:
        """End all reservations, as a restart does."""
        self._by_id.clear()
