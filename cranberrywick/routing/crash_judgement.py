"""The judgement which traits of requests crash the endpoints that answer them.

Load pattern: every endpoint that begins to answer a request with some trait crashes,
whatever else the request holds: a segment of its prompt, or all of its content. Such a
request fails as if its endpoint had failed, so it is sent to another one, and so are
its repeats and all that are like it. Each daemon sees some of the crashes, and at each
of them requests that were only there at the same time. Without this module such
requests are sent on until most endpoints are gone.

A trait is judged to be the cause if requests with it were at several crashes, one after
the other, and none has been answered since. Of several such traits, the one that is at
most crashes comes first, and of those the one that the fewest other requests share;
crashes that it explains don't count against the others any more.

Crashes are observations of their own if a request with the trait was sent after one of
them and lost at the next, however soon that follows. Endpoints that lose their power
together had all been sent their requests before.
"""

from collections.abc import Callable, Collection, Iterable, Set
from math import inf
from typing import NamedTuple

from cranberrywick.routing.crash_statement import (
    ROUNDING_SECONDS,
    EndpointCrash,
    LostRequest,
    Quarantine,
    Rival,
)
from cranberrywick.routing.request_traits import is_narrow

__all__ = [
    "Suspicion",
    "judge",
    "may_be_sound",
    "suspicions",
]

# Number of crashes, one after the other, after which a trait is quarantined, if no
# request with it has been answered yet, and if one has: then since the last answer.
CRASHES_WITHOUT_ANSWER = 3
CRASHES_SINCE_ANSWER = 6


class Suspicion(NamedTuple):
    """A trait at crashes since its last answer, and how many followed one another.

    It is quarantined for ``needed`` successive crashes.
    """

    trait_id: str
    crashes: int
    successive: int
    needed: int


class _Sighting(NamedTuple):
    """A crash at which requests with a trait were lost, by its place in their order."""

    place: int
    at: float
    sent_at: float
    requests: int
    is_trial: bool


class _Case:
    """All that counts against one trait."""

    def __init__(self, trait_id: str, answered_at: float):
        self.trait_id = trait_id
        self.answered_at = answered_at
        self.depth = 0
        # In the order of the crashes.
        self.sightings: list[_Sighting] = []

    def add(self, crash: EndpointCrash, place: int, lost: LostRequest) -> None:
        """Add a request that was lost at a crash, which is not before those added."""
        if crash.at <= self.answered_at:
            return
        self.depth = max(self.depth, lost.traits.index(self.trait_id))
        sent_at = crash.at - lost.sent_for
        sighting = _Sighting(place, crash.at, sent_at, lost.alike, lost.is_trial)
        if self.sightings and self.sightings[-1].place == place:
            known = self.sightings.pop()
            sighting = sighting._replace(
                sent_at=max(sent_at, known.sent_at),
                requests=lost.alike + known.requests,
                is_trial=lost.is_trial or known.is_trial,
            )
        self.sightings.append(sighting)

    def without(self, places: Set[int]) -> "_Case":
        """Return the case without some of the crashes."""
        case = _Case(self.trait_id, self.answered_at)
        case.depth = self.depth
        case.sightings = [each for each in self.sightings if each.place not in places]
        return case

    @property
    def successive(self) -> int:
        """How many of the crashes followed one another."""
        number, last = 0, -inf
        for each in self.sightings:
            if each.sent_at > last - 2 * ROUNDING_SECONDS:
                number, last = number + 1, each.at
        return number

    @property
    def needed(self) -> int:
        """For how many successive crashes the trait is quarantined."""
        is_answered = self.answered_at > -inf
        return CRASHES_SINCE_ANSWER if is_answered else CRASHES_WITHOUT_ANSWER

    @property
    def rank(self) -> tuple[int, int, str]:
        """The order of traits; the id decides, so that all daemons agree."""
        return len(self.sightings), self.depth, self.trait_id

    @property
    def places(self) -> frozenset[int]:
        """Which of the crashes count, by their places."""
        return frozenset(each.place for each in self.sightings)

    def quarantine(self, cases: Iterable["_Case"]) -> Quarantine:
        """Return the conclusion; ``cases`` are those of the other traits, too."""
        places = self.places
        rivals = [
            Rival(each.trait_id, each.places & places)
            for each in sorted(cases, key=lambda each: each.rank, reverse=True)
            if each is not self and len(each.places & places) >= _least_explained(each)
        ]
        return Quarantine(
            self.trait_id,
            self.sightings[-1].at,
            len(self.sightings),
            tuple(rivals),
            any(each.requests > 1 for each in self.sightings),
            sum(each.is_trial for each in self.sightings),
        )


def _least_explained(case: _Case) -> int:
    """Return at how many crashes another trait must have been to explain them.

    A shared one may still be one crash short of its own quarantine.
    """
    return case.needed if is_narrow(case.trait_id) else case.needed - 1


def may_be_sound(quarantine: Quarantine, trait_ids: Collection[str]) -> bool:
    """Whether other traits than these explain a quarantine's crashes, all but one.

    An answer to a request with these traits then tells which explanation is right.
    """
    rivals = [each for each in quarantine.rivals if each.trait_id not in trait_ids]
    explained = set().union(*(each.places for each in rivals))
    return bool(rivals) and len(explained) >= quarantine.crashes - 1


def suspicions(
    crashes: Iterable[EndpointCrash], answered_at: Callable[[str], float]
) -> list[Suspicion]:
    """Return the traits at crashes since their last answers, the likeliest cause first.

    >>> lost = (LostRequest(("first", "bad"), sent_for=0.1),)
    >>> crashes = [EndpointCrash("e1", 1, 1.0, lost)]
    >>> suspicions(crashes, {"first": 2.0, "bad": 0.5}.__getitem__)
    [Suspicion(trait_id='bad', crashes=1, successive=1, needed=6)]
    """
    ordered = sorted(crashes, key=lambda crash: crash.at)
    cases = _cases(ordered, answered_at)
    return [
        Suspicion(each.trait_id, len(each.sightings), each.successive, each.needed)
        for each in sorted(cases, key=lambda each: each.rank, reverse=True)
    ]


def judge(
    crashes: Iterable[EndpointCrash], answered_at: Callable[[str], float]
) -> dict[str, Quarantine]:
    """Return the quarantines that follow from these crashes, by their traits.

    ``answered_at`` returns when a request with a trait was last answered in whole,
    minus infinity if none was.

    >>> lost = [LostRequest(("first", "bad"), 0.1), LostRequest(("first", "good"), 0.1)]
    >>> crashes = [EndpointCrash(f"e{at}", 1, at, lost) for at in (1.0, 2.0, 3.0)]
    >>> list(judge(crashes, {"bad": -inf, "first": 0.5, "good": 2.5}.__getitem__))
    ['bad']
    """
    crashes = sorted(crashes, key=lambda crash: crash.at)
    cases = _cases(crashes, answered_at)
    judged_by_id: dict[str, Quarantine] = {}
    while True:
        cases = [each for each in cases if len(each.sightings) > 1]
        causes = [each for each in cases if each.successive >= each.needed]
        if not causes:
            return judged_by_id
        worst = max(causes, key=lambda each: each.rank)
        judged_by_id[worst.trait_id] = worst.quarantine(cases)
        explained = {
            place
            for place, crash in enumerate(crashes)
            if worst.trait_id in crash.trait_ids
        }
        cases = [each.without(explained) for each in cases]


def _cases(
    crashes: Iterable[EndpointCrash], answered_at: Callable[[str], float]
) -> list[_Case]:
    """Return the traits at crashes, which must be in their order."""
    cases_by_id: dict[str, _Case] = {}
    for place, crash in enumerate(crashes):
        for lost in crash.lost:
            for trait_id in lost.traits:
                case = cases_by_id.get(trait_id)
                if case is None:
                    case = _Case(trait_id, answered_at(trait_id))
                    cases_by_id[trait_id] = case
                case.add(crash, place, lost)
    return [each for each in cases_by_id.values() if each.sightings]
