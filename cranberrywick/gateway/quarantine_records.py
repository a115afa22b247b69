"""The quarantines in the store, for a fleet that has lost all its daemons.

While a daemon lives, those that start learn from it what is quarantined. The store
keeps it for the time after none did: without it, a fleet that starts again would learn
by the same crashes once more.
"""

import asyncio
from collections.abc import Set
from functools import partial

from cranberrywick.gateway.crash_updates import CrashUpdates
from cranberrywick.gateway.store_calls import StoreCalls
from cranberrywick.gateway.store_reader import Store
from cranberrywick.logs import EventLog
from cranberrywick.routing.members import Members

__all__ = ["QuarantineRecords"]

# Number of daemons, the first by id, that write a quarantine; one that the store
# refuses has others beside it.
WRITERS = 3
# Pause between a conclusion and its writing, and between tries, in seconds.
WRITE_SECONDS = 1.0
# Interval between tries to read the records, in seconds, until the store has answered.
READ_RETRY_SECONDS = 2.0
# Interval between readings while a record is in use here, in seconds: it may have
# ended since.
REREAD_SECONDS = 30.0


class QuarantineRecords:
    """Writes what this daemon concludes, and reads the records when it starts."""

    def __init__(
        self,
        store: Store,
        calls: StoreCalls,
        crashes: CrashUpdates,
        members: Members,
        log: EventLog,
    ):
        self._store = store
        self._calls = calls
        self._crashes = crashes
        self._members = members
        self._log = log
        self._loop = asyncio.get_running_loop()
        # When the records that this daemon has written end.
        self._written_until_by_id: dict[str, float] = {}
        self._next_write: asyncio.TimerHandle | None = None
        self._next_read: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Read the records, and write what is concluded from now on."""
        self._crashes.changed = self._schedule_write
        self._read()

    def _read(self) -> None:
        self._next_read = self._loop.call_later(READ_RETRY_SECONDS, self._read)
        self._calls.make("operator", self._store.read_quarantines, self._record)

    def _record(self, trait_ids: Set[str], requested_at: float) -> None:
        self._next_read.cancel()
        self._crashes.restore(trait_ids)
        if trait_ids:
            self._next_read = self._loop.call_later(REREAD_SECONDS, self._read)

    def _schedule_write(self) -> None:
        if self._next_write is None:
            self._next_write = self._loop.call_later(WRITE_SECONDS, self._write)

    def _write(self) -> None:
        """Write the first quarantine that is not written; remove one that ended."""
        self._next_write = None
        now = self._loop.time()
        concluded_by_id = self._crashes.concluded_by_id
        ended_ids = self._written_until_by_id.keys() - concluded_by_id.keys()
        for trait_id in sorted(ended_ids)[:1]:
            remove = partial(self._store.remove_quarantine, trait_id)
            self._calls.make("operator", remove, partial(self._removed, trait_id))
        unwritten_ids = [
            trait_id
            for trait_id in sorted(concluded_by_id)
            if self._written_until_by_id.get(trait_id, now) <= now
            and self._members.rank(now) < WRITERS
        ]
        for trait_id in unwritten_ids[:1]:
            ends_at = concluded_by_id[trait_id].ends_at
            write = partial(self._store.write_quarantine, trait_id, ends_at - now)
            written = partial(self._written, trait_id, ends_at)
            self._calls.make("operator", write, written)
        if ended_ids or unwritten_ids:
            self._schedule_write()

    def _written(
        self, trait_id: str, ends_at: float, answer: None, requested_at: float
    ) -> None:
        self._written_until_by_id[trait_id] = ends_at
        self._log.info("quarantine_recorded", trait=trait_id)

    def _removed(self, trait_id: str, answer: None, requested_at: float) -> None:
        self._written_until_by_id.pop(trait_id, None)
        self._log.info("quarantine_removed", trait=trait_id)
