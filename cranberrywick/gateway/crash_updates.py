"""What this daemon knows of crashes under requests, logged as it changes."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.crash_statement import (
    NOTHING_STATED,
    CrashStatement,
    EndpointCrash,
    Quarantine,
)
from cranberrywick.routing.known_crashes import SETTLE_SECONDS, KnownCrashes
from cranberrywick.routing.quarantine_trials import QuarantineTrials, Turn
from cranberrywick.routing.request_traits import RequestTraits

__all__ = ["CrashUpdates"]

# Number of suspected traits that one line names.
LOGGED_SUSPICIONS = 5


class CrashUpdates:
    """Records what this daemon and its peers see of crashes, and logs what follows.

    ``tell_peers`` is called when a heartbeat should soon state something new, and
    ``changed`` when other traits are in quarantine than before. ``turn`` returns when
    it is this daemon's turn to try a quarantined request, at a time of the loop's
    clock.
    """

    def __init__(
        self,
        tell_peers: Callable[[], None],
        turn: Callable[[float], Turn],
        log: EventLog,
    ):
        self._tell_peers = tell_peers
        self._turn = turn
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._crashes = KnownCrashes()
        self._trials = QuarantineTrials()
        self._logged_ids: set[str] = set()
        # Changes of what is known that have been logged.
        self._logged_changes = 0
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

    def answered(self, traits: RequestTraits, is_whole: bool) -> None:
        """Record an answer which shows that its request crashes no endpoint.

        Until the answer ``is_whole``, it doesn't show that for the request's content.
        """
        if self._crashes.answered(traits, is_whole, self._loop.time()):
            self._tell_peers()
            self._log_changes("own")

    def receive(self, statement: CrashStatement, daemon_id: str) -> None:
        """Merge what a peer states."""
        if statement == NOTHING_STATED:
            return
        if self._crashes.receive(statement, self._loop.time()):
            self._tell_peers()
        self._log_suspicions(daemon_id)
        self._log_changes(daemon_id)

    def restore(self, trait_ids: Iterable[str]) -> None:
        """Quarantine the traits that the store has on record."""
        self._crashes.restore(trait_ids, self._loop.time())
        self._log_changes("store")

    def find(
        self, traits: RequestTraits, request_key: str, request_id: str = ""
    ) -> Quarantine | None:
        """Return the quarantine for which a request is not sent, None if it may be.

        A few requests are sent although their trait is quarantined; see
        `cranberrywick.routing.quarantine_trials`. ``request_key`` is unique in this
        daemon, ``request_id`` the caller's.
        """
        now = self._loop.time()
        found = self._crashes.find(traits, now)
        if not found:
            return None
        is_known = self._trials.is_trial(request_key)
        turn = self._turn(now)
        if not self._trials.admits(found, traits, request_key, now, turn):
            return found[0]
        if not is_known:
            self._log.warning(
                "quarantine_trial",
                request_id=request_id,
                trait=found[0].trait_id,
                crashes=found[0].crashes,
                last_crash_age=now - found[0].last_crash_at,
                trials=found[0].trials,
            )
        return None

    def is_trial(self, request_key: str) -> bool:
        """Whether a request was sent in spite of a quarantine."""
        return self._trials.is_trial(request_key)

    def lost(self, request_key: str) -> None:
        """Record that a request was lost; it is not sent as a trial again."""
        self._trials.lost(request_key, self._loop.time())

    def ended(self, request_key: str) -> None:
        """Record that a request has ended, which may have been a trial."""
        self._trials.ended(request_key)

    def forget(self) -> None:
        """Remove what counts no longer."""
        now = self._loop.time()
        self._crashes.forget(now)
        self._trials.forget(now)
        self._log_changes("own")

    def statement(self) -> CrashStatement:
        """Return what this daemon's heartbeat states."""
        return self._crashes.statement(self._loop.time())

    def full_statement(self) -> CrashStatement:
        """Return all that is known, for a daemon that has just started."""
        return self._crashes.full_statement(self._loop.time())

    @property
    def concluded_by_id(self) -> Mapping[str, Quarantine]:
        """What this daemon concludes by itself, by the traits."""
        return self._crashes.judged_by_id(self._loop.time())

    def count(self) -> dict[str, float]:
        """Return how many traits are in quarantine, by where that is known from."""
        adopted_ids = self._crashes.adopted_ids(self._loop.time())
        return {"own": len(self.concluded_by_id), "adopted": len(adopted_ids)}

    def _log_suspicions(self, source: str) -> None:
        if self._crashes.changes == self._logged_changes:
            return
        self._logged_changes = self._crashes.changes
        found = self._crashes.suspicions()
        self._log.info(
            "crashes_counted",
            source=source,
            suspected=",".join(
                f"{each.trait_id}:{each.successive}/{each.needed}"
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
        for trait_id in sorted(ids - self._logged_ids):
            quarantine = judged_by_id.get(trait_id)
            self._log.warning(
                "requests_quarantined",
                trait=trait_id,
                source=source,
                crashes=quarantine.crashes if quarantine else None,
                last_crash_age=now - quarantine.last_crash_at if quarantine else None,
            )
        for listed in id_lists(sorted(self._logged_ids - ids)):
            self._log.warning("requests_released", traits=listed, source=source)
        self._logged_ids = ids
        self.changed()
