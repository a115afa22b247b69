"""The leases that a daemon holds: the holder's side of capacity leases.

Load pattern: a daemon's work comes in bursts and goes to some dozens of endpoints.
It sends a demand for slots to each steward every few seconds and at once when it
wants more. While the steward has no more slots to grant, the interval between the
demands doubles: under overload every daemon always wants more, and demands sent at a
constant short interval would be most of the traffic.

When a steward does not answer, a daemon uses its even share of an endpoint that was
warm by a recent report, so that the loss of a steward does not leave the endpoint
idle. It uses no other endpoint without a lease.

Figures: the shortest interval between demands, 0.1 s, is how long a first request may
wait for a slot, which is short compared with a first-token target of 1.7 s. Doubling
brings the interval to that of the renewals in five steps.
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

# Shortest interval between two demands for one endpoint, in seconds.
FIRST_INTERVAL_SECONDS = 0.1
# Interval before a demand that asks for more although at least half of the wanted
# slots are held, in seconds. It need not be short, since the daemon has other
# endpoints to use.
RISE_INTERVAL_SECONDS = 1.0
# Time without an answer after which the endpoint counts as one without a steward, in
# seconds.
STEWARD_TIMEOUT_SECONDS = 0.5
# Age up to which a report shows that an endpoint is still warm, in seconds.
WARM_REPORT_SECONDS = 30.0
# Part by which the holder shortens a lease, since monotonic clocks can differ in speed
# by some hundred parts in a million.
CLOCK_DRIFT = 0.001


class Usage(NamedTuple):
    """This daemon's use of one endpoint at one moment.

    ``wanted`` counts the requests that it could have running there, ``in_use`` those
    that run, and ``completed`` those that ended there since the daemon started.
    """

    wanted: int = 0
    in_use: int = 0
    completed: int = 0


class _Held:
    """The lease on one endpoint and the newest demand for it.

    ``must_ask`` requests a demand at the next opportunity. ``unanswered_since`` is
    when the first of the demands without an answer was sent, infinite if there is
    none. ``wanted`` is the number of slots in the newest demand.
    """

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
        """The identifiers of the endpoints that this daemon uses."""
        return self._held_by_id.keys()

    def set_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace the endpoints that this daemon uses; drop the leases on others."""
        self._endpoints_by_id = {each.endpoint_id: each for each in endpoints}
        self._held_by_id = {
            endpoint_id: self._held_by_id.get(endpoint_id) or _Held()
            for endpoint_id in self._endpoints_by_id
        }

    def is_due(self, endpoint_id: str, usage: Usage, now: float) -> bool:
        """Return whether to send a demand to the endpoint's steward now."""
        held = self._held_by_id[endpoint_id]
        elapsed = now - held.asked_at
        if elapsed < FIRST_INTERVAL_SECONDS:
            return False
        if held.must_ask or elapsed >= RENEW_SECONDS:
            return True
        has_too_few = usage.wanted > held.slots_at(now)
        if has_too_few and usage.wanted > held.wanted:
            holds_under_half = 2 * held.slots_at(now) < usage.wanted
            next_interval = (
                FIRST_INTERVAL_SECONDS * 2
                if holds_under_half
                else RISE_INTERVAL_SECONDS
            )
            held.interval = min(held.interval, next_interval)
        return has_too_few and elapsed >= held.interval

    def ask(
        self, endpoint_id: str, steward: str, round: int, usage: Usage, now: float
    ) -> DemandEntry:
        """Return a new demand for one endpoint, to be sent to its steward at once.

        From now on `take` accepts only the answer to this demand, from this steward.
        """
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
        # A lower demand is reached by halving the difference. If it were reported at
        # once, a demand that swings each second would move slots back and forth
        # between the daemons.
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
        """Apply a grant and return whether it answers the newest demand.

        Late and repeated answers are ignored. ``lifetime`` is in seconds and counts
        from the sending of the demand.
        """
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
            # The steward granted this before it received the report of the trouble.
            held.slots = 0
        return True

    def cut(self, endpoint_id: str, slots: int) -> None:
        """Give up all but ``slots`` and make a demand due, which reports it."""
        held = self._held_by_id.get(endpoint_id)
        if held is None:
            return
        held.slots = min(held.slots, slots)
        held.must_ask = True

    def record_trouble(self, endpoint_id: str, trouble: Trouble, now: float) -> None:
        """Use no slots of an endpoint that seems cold until its steward answers.

        The endpoint's next report may be a second away, and until then each request
        would go to an endpoint that can't carry it.
        """
        held = self._held_by_id.get(endpoint_id)
        if held is None or trouble is Trouble.NONE:
            return
        held.trouble = trouble
        held.trouble_at = now
        self.cut(endpoint_id, 0)

    def record_load(self, load: EndpointLoad) -> None:
        """Apply the load report that came with an answer, unless it is outdated."""
        held = self._held_by_id.get(load.endpoint_id)
        if held is None:
            return
        if held.load is None or load.reported_at >= held.load.reported_at:
            held.load = load

    def leased(self, endpoint_id: str, now: float) -> int:
        """Return the number of slots that this daemon has on lease at an endpoint."""
        return self._held_by_id[endpoint_id].slots_at(now)

    def share(
        self, endpoint_id: str, daemon_ids: Iterable[str], now: float
    ) -> Share | None:
        """Return this daemon's share of an endpoint, or None if it may use nothing.

        The share is the lease. Without one, and if the steward does not answer, it is
        an even part of an endpoint that is warm by a recent report, divided between
        ``daemon_ids``.
        """
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
        if now - held.unanswered_since < STEWARD_TIMEOUT_SECONDS:
            return False
        if held.load is None or held.load.phase is not EndpointPhase.WARM:
            return False
        reported_at = held.load.reported_at
        is_fresh = now - reported_at < WARM_REPORT_SECONDS
        return is_fresh and reported_at > held.trouble_at
