"""Which engines read a prompt in so many parts, and at what price.

Load pattern: the same as in `cranberrywick.routing.placement`, which asks this for each
number of parts and takes the cheapest. Without one price for all, of what the prompt
itself loses by being late and of what it makes late where it is read, either it takes
the quickest engines and stops their answers, or it waits for ones that nobody needs.
"""

from collections.abc import Callable, Sequence
from math import log
from operator import attrgetter
from typing import NamedTuple

from cranberrywick.routing.engine_model import EngineForecast

__all__ = [
    "ENGINE_PRICE",
    "IN_FLIGHT_PRICE",
    "Choice",
    "Engine",
    "Split",
    "Work",
    "choose",
    "weighted_random",
]

# Expected within this share of its target, a first event is on time whatever comes
# between; expected at the target, it is late as often as not.
SAFE_SHARE = 0.5
# Prices in units of a short request's lateness. Each is below one, so that it only
# decides between choices that make the same requests late. A first event earlier by
# a whole target is worth the least; one engine more has to save more than its news
# and its connection cost.
TIME_PRICE = 0.1
ENGINE_PRICE = 0.02
# What a request that is in flight, placed by another daemon and not visible here yet,
# costs the one that meets it at an engine with one free slot, in shares of that one's
# value. All daemons see the same engine as the best: without this they meet there, and
# whoever finds no slot waits for an answer to end. A weighted random choice spreads
# them, however many engines and daemons there are.
IN_FLIGHT_PRICE = 1.0


class Engine(NamedTuple):
    """What a choice asks of an engine.

    ``answer_price`` is that of one more answer written there, ``shuffle`` is random
    between 0 and 1. ``free_slots`` is how many more requests it can answer.
    """

    endpoint_id: str
    forecast: EngineForecast
    free_tokens: int
    answer_price: float
    failure_share: float
    may_answer: bool
    free_slots: int
    shuffle: float


class Choice(NamedTuple):
    """The engines that read a prompt, the answering one first.

    It is expected to be read after ``seconds``; ``reading`` is that of each part.
    """

    cost: float
    seconds: float
    reading: float
    engines: tuple[Engine, ...]


def _lateness(share: float) -> float:
    """Return how likely a first event foreseen at this share of its target is late."""
    return min(1.0, max(0.0, (share - SAFE_SHARE) / SAFE_SHARE))


class Work(NamedTuple):
    """A prompt in so many parts: its limits, what each is to read, what it is worth."""

    target_seconds: float
    gap_seconds: float
    reading: float
    joint: bool
    value: float

    def engine_price(self, engine: Engine, answers: bool) -> float:
        """Return the price of a part at an engine, however long it takes."""
        price = engine.forecast.interference(self.reading, self.joint)
        price += self.value * engine.failure_share
        if not answers:
            return price + ENGINE_PRICE
        breaks = engine.forecast.breaks(self.gap_seconds, self.joint)
        return price + engine.answer_price + self.value * breaks

    def time_price(self, seconds: float) -> float:
        """Return the price of a first event after so long."""
        share = seconds / self.target_seconds
        return self.value * _lateness(share) + TIME_PRICE * share

    def first_event(self, engine: Engine) -> float:
        """Return when an engine would have read its part."""
        return engine.forecast.first_event(self.reading, self.joint)

    def offers(self, engines: Sequence[Engine], answers: bool) -> list["Offer"]:
        """Return the price of a part at each engine, the cheapest first."""
        offers = [Offer(self._price(engine, answers), engine) for engine in engines]
        return sorted(offers, key=attrgetter("price", "engine.shuffle"))

    def _price(self, engine: Engine, answers: bool) -> float:
        price = self.engine_price(engine, answers)
        return price + self.time_price(self.first_event(engine))


class Split(NamedTuple):
    """Into how many parts a prompt is divided.

    The first ``holders`` of the engines hold ``share`` tokens each.
    """

    parts: int
    holders: int
    share: int


class Offer(NamedTuple):
    """An engine and the price of a part there."""

    price: float
    engine: Engine


# The order in which engines are taken, given their offers by price.
Order = Callable[[Sequence[Offer]], Sequence[Offer]]


def weighted_random(price: float) -> Order:
    """Return an order for when requests in flight take the cheapest engines as well.

    Together they pay ``price``. Each makes its engine dearer, the more so the fewer
    slots are free there, until the next is as cheap. Of the engines that they fill in
    this way each comes first in proportion to how many of them it gets.
    """

    def order(offers: Sequence[Offer]) -> list[Offer]:
        level = _filled_to(offers, price)

        def key(offer: Offer) -> tuple[float, float]:
            if offer.price >= level:
                return offer.price, offer.engine.shuffle
            expected = (level - offer.price) * offer.engine.free_slots
            # Of exponential times the least belongs to each in proportion to its rate.
            return level, -log(1.0 - offer.engine.shuffle) / expected

        return sorted(offers, key=key)

    return order


def _filled_to(offers: Sequence[Offer], price: float) -> float:
    """Return the price of the engines that are filled for ``price`` in all."""
    level = float("inf")
    paid = price
    slots = 0
    for offer in offers:
        if offer.price >= level:
            break
        paid += offer.price * offer.engine.free_slots
        slots += offer.engine.free_slots
        level = paid / slots
    return level


def choose(
    work: Work, engines: list[Engine], split: Split, order: Order = tuple
) -> Choice | None:
    """Return the engines for a prompt in so many parts and their cost.

    They are taken by price, or in another order.
    """
    parts, holders, share = split
    ranked = [offer.engine for offer in order(work.offers(engines, answers=True))]
    roomy = [engine for engine in ranked if engine.free_tokens >= share]
    answering = next((engine for engine in roomy if engine.may_answer), None)
    if answering is None or len(roomy) < holders:
        return None
    others = [engine for engine in roomy if engine is not answering]
    helping = others[: holders - 1]
    if parts > holders:
        held_ids = {engine.endpoint_id for engine in (answering, *helping)}
        free = [engine for engine in engines if engine.endpoint_id not in held_ids]
        offers = order(work.offers(free, answers=False))
        helping += [offer.engine for offer in offers[: parts - holders]]
    chosen = (answering, *helping)
    seconds = max(work.first_event(engine) for engine in chosen)
    cost = work.engine_price(answering, answers=True) + work.time_price(seconds)
    cost += sum(work.engine_price(engine, answers=False) for engine in helping)
    return Choice(cost, seconds, work.reading, chosen)
