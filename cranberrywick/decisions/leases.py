"""What a daemon holds of endpoints: the holder's side of capacity leases.

Load pattern: a daemon's work comes in bursts and goes to some dozens of endpoints.
It asks each steward for slots every few seconds, at once when its demand rises, and
more and more seldom while the steward has no more to give: under overload every
daemon always wants more, and asking without a pause would be most of the traffic.

Without a steward's answer a daemon uses its part of an endpoint last heard to be
warm, so that the loss of a steward does not idle it. Of any other endpoint it uses
nothing without a lease.

Figures: the shortest interval between demands, 0.1 s, is what a first request may
wait for a slot, small against a first-token target of 1.7 s; doubling brings it to
the renewal interval in five steps.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cranberrywick.decisions.cold_start import Trouble
from cranberrywick.decisions.division import fallback_slots
from cranberrywick.decisions.grants import (
    RENEW_SECONDS,
    DemandEntry,
)
from cranberrywick.model import Endpoint, EndpointLoad, EndpointPhase, Share

__all__ = ["HeldLeases", "Usage"]

FIRST_INTERVAL_SECONDS = 0.1
# A daemon that holds most of what it wants of one endpoint has others to use.
RISE_SECONDS = 1.0
# No answer for so long means that there is no steward to wait for.
UNANSWERED_SECONDS = 0.5
# A report older than this does not show that an endpoint is still warm.
WARM_REPORT_SECONDS = 30.0
# Two monotonic clocks can differ in speed by some hundred parts in a million.
CLOCK_DRIFT = 0.001


class Usage(NamedTuple):
    """What this daemon does with one endpoint now.

    ``wanted`` are the requests it could have running there, ``in_use`` those that
    run, ``completed`` those that ended there since the start.
    """

    wanted: int = 0
    in_use: int = 0
    completed: int = 0


class _Held:
    """One endpoint's lease and the demand under way for it."""

    __slots__ = (
        "answered",
        "asked_at",
        "expires_at",
        "interval",
        "load",
        "must_ask",
        "round",
        "slots",
        "steward",
        "trouble",
        "trouble_at",
        "unanswered_since",
        "wanted",
    )

    def __init__(self) -> None:
        self.slots = 0
        self.expires_at = float("-inf")
        self.round = 0
        self.steward: str | None = None
        self.asked_at = float("-inf")
        self.answered = True
        self.unanswered_since = float("inf")
        self.interval = RENEW_SECONDS
        self.must_ask = True
        self.wanted = 0
        self.load: EndpointLoad | None = None
        self.trouble = Trouble.NONE
        self.trouble_at = float("-inf")

    def slots_at(self, now: float) -> int:
        return self.slots if now < self.expires_at else 0


class HeldLeases:
    """The leases of one daemon.

    >>> leases = HeldLeases("e1")
    >>> leases.set_endpoints([endpoint])
    >>> if leases.is_due("r1", Usage(wanted=2), now=0.0):
    ...     entry = leases.ask("r1", "e2", 1, Usage(wanted=2), now=0.0)
    >>> leases.take("r1", "e2", 1, slots=2, lifetime=9.0)
    >>> leases.share("r1", ["e1", "e2"], now=0.1).slots
    2
    """

    def __init__(self, daemon_id: str):
        self._daemon_id = daemon_id
        self._held_by_id: dict[str, _Held] = {}
        self._endpoints_by_id: dict[str, Endpoint] = {}

    @property
    def endpoint_ids(self) -> Iterable[str]:
        """The endpoints this daemon uses."""
        return self._held_by_id.keys()

    def set_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace the endpoints this daemon uses; leases on others are dropped."""
        self._endpoints_by_id = {each.endpoint_id: each for each in endpoints}
        self._held_by_id = {
            endpoint_id: self._held_by_id.get(endpoint_id) or _Held()
            for endpoint_id in self._endpoints_by_id
        }

    def is_due(self, endpoint_id: str, usage: Usage, now: float) -> bool:
        """Whether to ask the endpoint's steward now."""
        held = self._held_by_id[endpoint_id]
        since = now - held.asked_at
        if since < FIRST_INTERVAL_SECONDS:
            return False
        if held.must_ask or since >= RENEW_SECONDS:
            return True
        has_too_few = usage.wanted > held.slots_at(now)
        if has_too_few and usage.wanted > held.wanted:
            is_urgent = 2 * held.slots_at(now) < usage.wanted
            soon = FIRST_INTERVAL_SECONDS * 2 if is_urgent else RISE_SECONDS
            held.interval = min(held.interval, soon)
        return has_too_few and since >= held.interval

    def ask(
        self, endpoint_id: str, steward: str, round: int, usage: Usage, now: float
    ) -> DemandEntry:
        """Return the demand for one endpoint and wait for its answer only."""
        held = self._held_by_id[endpoint_id]
        has_too_few = usage.wanted > held.slots_at(now)
        held.interval = (
            min(held.interval * 2, RENEW_SECONDS) if has_too_few else RENEW_SECONDS
        )
        held.steward = steward
        held.round = round
        held.asked_at = now
        held.answered = False
        held.unanswered_since = min(held.unanswered_since, now)
        held.must_ask = False
        # It falls by halves: a demand that swings from second to second would be
        # told at each swing, and lent slots would go to and fro.
        held.wanted = max(usage.wanted, (held.wanted + usage.wanted) // 2)
        entry = DemandEntry(
            endpoint_id=endpoint_id,
            wanted=held.wanted,
            in_use=usage.in_use,
            held=held.slots_at(now),
            completed=usage.completed,
            trouble=held.trouble,
            incarnation=0 if held.load is None else held.load.incarnation,
            was_cold=held.load is not None and held.load.phase is EndpointPhase.COLD,
        )
        held.trouble = Trouble.NONE
        return entry

    def take(
        self, endpoint_id: str, steward: str, round: int, slots: int, lifetime: float
    ) -> bool:
        """Take the answer to the newest demand; late and repeated ones are ignored."""
        held = self._held_by_id.get(endpoint_id)
        if held is None or (held.steward, held.round) != (steward, round):
            return False
        if held.answered:
            return False
        held.answered = True
        held.unanswered_since = float("inf")
        held.slots = slots
        held.expires_at = held.asked_at + lifetime * (1 - CLOCK_DRIFT)
        if slots >= held.wanted:
            held.interval = RENEW_SECONDS
        if held.trouble is not Trouble.NONE:
            # The answer is from before the steward knows what was seen here.
            held.slots = 0
        return True

    def cut(self, endpoint_id: str, slots: int) -> None:
        """Give up all but ``slots``, as the steward asks, and tell it at once."""
        held = self._held_by_id.get(endpoint_id)
        if held is None:
            return
        held.slots = min(held.slots, slots)
        held.must_ask = True

    def record_trouble(self, endpoint_id: str, trouble: Trouble, now: float) -> None:
        """Stop sending to an endpoint that seems cold, until its steward answers.

        The steward's next report may be a second away, and each request in between
        falls on an endpoint that can't bear it.
        """
        held = self._held_by_id.get(endpoint_id)
        if held is None or trouble is Trouble.NONE:
            return
        held.trouble = trouble
        held.trouble_at = now
        self.cut(endpoint_id, 0)

    def record_load(self, load: EndpointLoad) -> None:
        """Take the report that came with an answer."""
        held = self._held_by_id.get(load.endpoint_id)
        if held is None:
            return
        if held.load is None or load.reported_at >= held.load.reported_at:
            held.load = load

    def leased(self, endpoint_id: str, now: float) -> int:
        """Return the slots of an endpoint that a steward has leased to this daemon."""
        return self._held_by_id[endpoint_id].slots_at(now)

    def share(
        self, endpoint_id: str, daemon_ids: Iterable[str], now: float
    ) -> Share | None:
        """Return what this daemon may use of an endpoint, None for nothing."""
        held = self._held_by_id[endpoint_id]
        slots = held.slots_at(now)
        if slots > 0:
            return Share(endpoint_id, slots, held.expires_at)
        if not self._may_fall_back(held, now):
            return None
        endpoint = self._endpoints_by_id[endpoint_id]
        slots = fallback_slots(endpoint, self._daemon_id, daemon_ids)
        return Share(endpoint_id, slots, now + RENEW_SECONDS) if slots else None

    @staticmethod
    def _may_fall_back(held: _Held, now: float) -> bool:
        if now - held.unanswered_since < UNANSWERED_SECONDS:
            return False
        if held.load is None or held.load.phase is not EndpointPhase.WARM:
            return False
        reported_at = held.load.reported_at
        is_fresh = now - reported_at < WARM_REPORT_SECONDS
        return is_fresh and reported_at > held.trouble_at
