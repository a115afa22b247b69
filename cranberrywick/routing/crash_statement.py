"""What daemons state to each other about endpoints that crash under requests."""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    "EVIDENCE_SECONDS",
    "NOTHING_STATED",
    "QUARANTINE_SECONDS",
    "ROUNDING_SECONDS",
    "CrashStatement",
    "EndpointCrash",
    "LostRequest",
    "Quarantine",
    "Rival",
    "TraitAnswer",
    "adds_to",
    "merge_lost",
]

# How long a trait stays in quarantine after its last crash, in seconds. If the cause
# was mended, its requests are answered after that.
QUARANTINE_SECONDS = 600.0
# How long a crash counts, in seconds. A trait that has left its quarantine returns to
# it with the next crash as long as the former ones count.
EVIDENCE_SECONDS = 3600.0
# Daemons state ages and durations in milliseconds, so that the moments that they know
# of a crash differ by up to this, in seconds.
ROUNDING_SECONDS = 0.002
# Bounds of what is kept of one crash: requests and their traits.
MAX_LOST = 64
MAX_TRAITS = 256


class LostRequest(NamedTuple):
    """What was lost at a crash: the traits of a request, from the most shared one on.

    ``sent_for`` is for how many seconds the endpoint had it, of several alike the
    shortest time, ``alike`` how many of them one daemon lost there, and ``is_trial``
    whether one was sent in spite of a quarantine.
    """

    traits: tuple[str, ...]
    sent_for: float
    alike: int = 1
    is_trial: bool = False


class EndpointCrash(NamedTuple):
    """A crash of an endpoint, and the requests that it may have been caused by.

    ``born`` identifies the start of the endpoint.
    """

    endpoint_id: str
    born: int
    at: float
    lost: tuple[LostRequest, ...]

    @property
    def trait_ids(self) -> frozenset[str]:
        """The traits of all these requests."""
        return frozenset(each for request in self.lost for each in request.traits)


class TraitAnswer(NamedTuple):
    """When a request with a trait was last answered in whole."""

    trait_id: str
    at: float


class Rival(NamedTuple):
    """Another trait that explains crashes, by their places among all of them."""

    trait_id: str
    places: frozenset[int]


class Quarantine(NamedTuple):
    """A trait with which no request is sent to an endpoint.

    ``crashes`` is the number of crashes that it explains, 0 if a peer or the store has
    stated the quarantine, and ``last_crash_at`` the time of the last one. ``rivals``
    are other traits that would explain some of these crashes. ``is_crowded`` says that
    several requests with the trait were lost at the same crash, and ``trials`` at how
    many crashes one was lost that had been sent as a trial.
    """

    trait_id: str
    last_crash_at: float
    crashes: int = 0
    rivals: tuple[Rival, ...] = ()
    is_crowded: bool = False
    trials: int = 0

    @property
    def ends_at(self) -> float:
        """When the quarantine ends unless another crash follows."""
        return self.last_crash_at + QUARANTINE_SECONDS


class CrashStatement(NamedTuple):
    """What a daemon states with a heartbeat about crashes; nothing by default."""

    crashes: tuple[EndpointCrash, ...] = ()
    answers: tuple[TraitAnswer, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()


NOTHING_STATED = CrashStatement()


def merge_lost(lost: Iterable[LostRequest]) -> tuple[LostRequest, ...]:
    """Return the requests with those alike as one, as far as the bounds admit them.

    >>> merge_lost([LostRequest(("a",), 2.0), LostRequest(("a",), 1.0, alike=3)])
    (LostRequest(traits=('a',), sent_for=1.0, alike=3, is_trial=False),)
    """
    merged_by_traits: dict[tuple[str, ...], LostRequest] = {}
    left = MAX_TRAITS
    for each in lost:
        known = merged_by_traits.get(each.traits)
        if known is None:
            if len(each.traits) > left or len(merged_by_traits) >= MAX_LOST:
                continue
            left -= len(each.traits)
            known = each
        merged_by_traits[each.traits] = LostRequest(
            each.traits,
            min(known.sent_for, each.sent_for),
            max(known.alike, each.alike),
            known.is_trial or each.is_trial,
        )
    return tuple(merged_by_traits.values())


def adds_to(known: Iterable[LostRequest], lost: Iterable[LostRequest]) -> bool:
    """Whether requests that were lost at a crash say more than those that are known.

    >>> known = [LostRequest(("a",), 1.0, alike=2)]
    >>> adds_to(known, [LostRequest(("a",), 1.5)])
    False
    >>> adds_to(known, [LostRequest(("a",), 0.5)])
    True
    """
    known_by_traits = {each.traits: each for each in known}
    for each in lost:
        before = known_by_traits.get(each.traits)
        if before is None or each.alike > before.alike:
            return True
        if each.is_trial and not before.is_trial:
            return True
        if each.sent_for < before.sent_for - ROUNDING_SECONDS:
            return True
    return False
