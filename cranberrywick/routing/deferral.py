"""Whether a request starts now or is deferred for more urgent ones.

Load pattern: requests of several ranks compete for the engines of one service. The
least urgent ones come in a pack, each with seconds of slack, and the most urgent ones
shortly after, each with a few tenths of a second. If everything starts as soon as there
is a placement for it, the pack has taken the engines by then, and the urgent requests
are late although the others could have waited.

A request with slack is therefore deferred while more urgent ones wait, while it would
make others late, and while it would take one of the slots that the more urgent requests
of the near future need. It is never deferred for longer than a fixed share of its
target, so that it can't starve whatever daemons state about their demand.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "ArrivalRate",
    "DeferReason",
    "Situation",
    "StartReason",
    "decide",
    "deferral_left",
]

# Longest deferral, as a share of the target. The rest of the target must suffice for
# the wait for a slot and for the first event.
MAX_DEFERRED_SHARE = 0.3
# Share of the target that is kept beside the predicted first event, since prediction
# and delivery vary; without it a request that is deferred until its slack is used up
# is late about half of the time.
MARGIN_SHARE = 0.1
# Shortest deferral, in seconds. A timer may fire a rounding error before its moment; a
# request would be tried again and again until that has passed.
MIN_DEFERRAL_SECONDS = 0.001
# Least price at which a placement makes other requests late, in units of the loss when
# a short request is late. Below it are only the prices of delays within the target.
LATENESS_PRICE = 1.0


class DeferReason(StrEnum):
    """Why a request is not started yet."""

    URGENT_WAITING = "urgent_waiting"
    CAUSES_LATENESS = "causes_lateness"
    SLOTS_NEEDED = "slots_needed"


class StartReason(StrEnum):
    """Why a request is started."""

    MOST_URGENT = "most_urgent"
    LONGEST_DEFERRAL = "longest_deferral"
    NO_SLACK = "no_slack"
    HAS_ROOM = "has_room"


class ArrivalRate(NamedTuple):
    """How many requests of one rank arrive a second, and their target in seconds."""

    per_second: float
    target_seconds: float


class Situation(NamedTuple):
    """A request that has a placement, and the demand for its service.

    ``rank`` is the request's; 0 is the most urgent. ``most_urgent_rank`` is the most
    urgent one that arrives at the service or waits for it, None if none is known.
    ``urgent_waiting`` and ``urgent_arrivals`` describe the more urgent requests of the
    fleet. ``interference`` and ``free_slots`` are those of the `Placement`. The request
    has waited for ``waited_seconds`` since its arrival, and would have its first event
    ``first_event_seconds`` from now.
    """

    rank: int
    most_urgent_rank: int | None
    urgent_waiting: int
    urgent_arrivals: tuple[ArrivalRate, ...]
    interference: float
    free_slots: float
    waited_seconds: float
    target_seconds: float
    first_event_seconds: float

    @property
    def urgent_slots(self) -> float:
        """How many more urgent requests arrive within their own target."""
        return _expected(self.urgent_arrivals)


def decide(situation: Situation) -> DeferReason | StartReason:
    """Return why a request is started now, or why it is deferred.

    >>> decide(Situation(2, 0, 1, (), 0.0, 90.0, 0.0, 8.0, 1.0))
    <DeferReason.URGENT_WAITING: 'urgent_waiting'>
    """
    each = situation
    if each.most_urgent_rank is None or each.rank <= each.most_urgent_rank:
        return StartReason.MOST_URGENT
    left = deferral_left(
        each.target_seconds, each.first_event_seconds, each.waited_seconds
    )
    if left < MIN_DEFERRAL_SECONDS:
        longest = MAX_DEFERRED_SHARE * each.target_seconds
        is_longest = each.waited_seconds > longest - MIN_DEFERRAL_SECONDS
        return StartReason.LONGEST_DEFERRAL if is_longest else StartReason.NO_SLACK
    if each.urgent_waiting > 0:
        return DeferReason.URGENT_WAITING
    if each.interference >= LATENESS_PRICE:
        return DeferReason.CAUSES_LATENESS
    if each.free_slots - 1 < each.urgent_slots:
        return DeferReason.SLOTS_NEEDED
    return StartReason.HAS_ROOM


def deferral_left(
    target_seconds: float, first_event_seconds: float, waited_seconds: float
) -> float:
    """Return for how many seconds a request may still be deferred; 0 or less for none.

    >>> deferral_left(target_seconds=8.0, first_event_seconds=1.0, waited_seconds=2.0)
    0.4
    """
    slack = (1.0 - MARGIN_SHARE) * target_seconds - first_event_seconds
    return min(MAX_DEFERRED_SHARE * target_seconds, slack) - waited_seconds


def _expected(arrivals: Iterable[ArrivalRate]) -> float:
    return sum(each.per_second * each.target_seconds for each in arrivals)
