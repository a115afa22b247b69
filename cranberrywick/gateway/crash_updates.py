"""What this daemon knows of crashes under prompts, logged as it changes."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence

from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.crash_statement import (
    NOTHING_STATED,
    CrashStatement,
    EndpointCrash,
    SegmentQuarantine,
)
from cranberrywick.routing.segment_crashes import SETTLE_SECONDS, SegmentCrashes
from cranberrywick.routing.segment_judgement import Suspicion

__all__ = ["CrashUpdates"]

# Number of suspected segments that one line names.
LOGGED_SUSPICIONS = 5


class CrashUpdates:
    """Records what this daemon and its peers see of crashes, and logs what follows.

    ``tell_peers`` is called when a heartbeat should soon state something new, and
    ``changed`` when other segments are in quarantine than before.
    """

    def __init__(self, tell_peers: Callable[[], None], log: EventLog):
        self._tell_peers = tell_peers
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._crashes = SegmentCrashes()
        self._logged_ids: set[str] = set()
        self._logged_suspicions: list[Suspicion] = []
        self._settling: asyncio.TimerHandle | None = None
        self.changed: Callable[[], None] = lambda: None

    def has_crashed(self, endpoint_id: str, born: int) -> bool:
        """Whether a start of an endpoint is known to have crashed."""
        return self._crashes.has_crashed(endpoint_id, born)

    def crashed(self, crash: EndpointCrash) -> None:
        """Record a crash that this daemon has seen."""
        if self._crashes.add(crash, self._loop.time()):
            self._tell_peers()
        self._log_suspicions("own")
        self._log_changes("own")

    def answered(self, segment_ids: Sequence[str]) -> None:
        """Record an answer which shows that its prompt crashes no endpoint."""
        if self._crashes.answered(segment_ids, self._loop.time()):
            self._tell_peers()
            self._log_changes("own")

    def receive(self, statement: CrashStatement, daemon_id: str) -> None:
        """Merge what a peer states."""
        if statement == NOTHING_STATED:
            return
        if self._crashes.receive(statement, self._loop.time()):
            self._tell_peers()
        if statement.crashes:
            self._log_suspicions(daemon_id)
        self._log_changes(daemon_id)

    def restore(self, segment_ids: Iterable[str]) -> None:
        """Quarantine the segments that the store has on record."""
        self._crashes.restore(segment_ids, self._loop.time())
        self._log_changes("store")

    def find(self, segment_ids: Sequence[str]) -> SegmentQuarantine | None:
        """Return the quarantine that a prompt with these segments falls under."""
        return self._crashes.find(segment_ids, self._loop.time())

    def forget(self) -> None:
        """Remove what counts no longer."""
        self._crashes.forget(self._loop.time())
        self._log_changes("own")

    def statement(self) -> CrashStatement:
        """Return what this daemon's heartbeat states."""
        return self._crashes.statement(self._loop.time())

    def full_statement(self) -> CrashStatement:
        """Return all that is known, for a daemon that has just started."""
        return self._crashes.full_statement(self._loop.time())

    @property
    def concluded_by_id(self) -> Mapping[str, SegmentQuarantine]:
        """What this daemon concludes by itself, by the segments."""
        return self._crashes.judged_by_id(self._loop.time())

    def count(self) -> dict[str, float]:
        """Return how many segments are in quarantine, by where that is known from."""
        adopted_ids = self._crashes.adopted_ids(self._loop.time())
        return {"own": len(self.concluded_by_id), "adopted": len(adopted_ids)}

    def _log_suspicions(self, source: str) -> None:
        found = self._crashes.suspicions()
        if found == self._logged_suspicions:
            return
        self._logged_suspicions = found
        self._log.info(
            "crashes_counted",
            source=source,
            suspected=",".join(
                f"{each.segment_id}:{each.separate}/{each.needed}"
                for each in found[:LOGGED_SUSPICIONS]
            ),
            most_crashes=found[0].crashes if found else 0,
        )

    def _settle(self) -> None:
        self._settling = None
        self._log_changes("own")

    def _log_changes(self, source: str) -> None:
        now = self._loop.time()
        if self._settling is None and self._crashes.is_unsettled(now):
            self._settling = self._loop.call_later(SETTLE_SECONDS, self._settle)
        judged_by_id = self._crashes.judged_by_id(now)
        ids = judged_by_id.keys() | set(self._crashes.adopted_ids(now))
        if ids == self._logged_ids:
            return
        for segment_id in sorted(ids - self._logged_ids):
            quarantine = judged_by_id.get(segment_id)
            self._log.warning(
                "segment_quarantined",
                segment=segment_id,
                source=source,
                crashes=quarantine.crashes if quarantine else None,
                last_crash_age=now - quarantine.last_crash_at if quarantine else None,
            )
        for listed in id_lists(sorted(self._logged_ids - ids)):
            self._log.warning("segments_released", segments=listed, source=source)
        self._logged_ids = ids
        self.changed()
