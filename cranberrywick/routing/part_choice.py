"""Choice of the engines that read a prompt in a given number of parts, and its price.

Load pattern: as in `cranberrywick.routing.placement`, which calls `choose` for each
number of parts and uses the cheapest choice. The price adds up the loss when the prompt
itself is late and the loss of the requests that it makes late on its engines. Without
this common price a prompt either takes the quickest engines and stops the answers
there, or waits for engines that no other request needs.
"""

from collections.abc import Callable, Iterable, Sequence
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

# A first event predicted within this share of its target is on time whatever happens
# until then. One predicted at the target is late about half of the time, and is counted
# as late. The estimated probability rises linearly between the two.
SAFE_SHARE = 0.5
# Prices in units of the loss when a short request is late. Each is below one, so that
# it only decides between choices that make the same requests late. TIME_PRICE is for a
# first event that is later by a whole target. ENGINE_PRICE is for each helper: its
# updates and its connection have a cost, which the time saved must exceed.
TIME_PRICE = 0.1
ENGINE_PRICE = 0.02
# Price of sharing an engine that has one free slot with a request in flight, that is,
# one which another daemon has placed and which is not known here yet. The unit is the
# placed request's value. All daemons compute the same engine as the best; without this
# they all place there, and a request that finds no slot waits until an answer ends. A
# weighted random choice spreads the requests for any number of engines and daemons.
IN_FLIGHT_PRICE = 1.0


class Engine(NamedTuple):
    """An engine as a choice sees it.

    ``free_tokens`` is the memory that is not reserved, in tokens. ``answer_price`` is
    the price of one more answer decoded there, ``failure_share`` how many of its last
    attempts failed, between 0 and 1. ``may_answer`` says whether it may answer and not
    only help. ``free_slots`` is how many more requests it can answer. ``shuffle`` is
    random between 0 and 1 and orders engines of the same price.
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
    """The engines that read a prompt, the answering one first, and the price in all.

    The first event is predicted after ``seconds``; ``part_seconds`` is the prefill time
    of each part.
    """

    cost: float
    seconds: float
    part_seconds: float
    engines: tuple[Engine, ...]


def _lateness(share: float) -> float:
    """Return the estimated probability of a late first event, given its predicted time.

    ``share`` is that time as a share of the target.
    """
    return min(1.0, max(0.0, (share - SAFE_SHARE) / SAFE_SHARE))


class Work(NamedTuple):
    """A prompt that is divided into parts.

    ``target_seconds`` and ``gap_seconds`` are the targets for its first event and for
    the pauses of its answer, ``part_seconds`` the prefill time of each part. ``joint``
    says that there is more than one part, ``value`` is the loss if the answer is
    late.
    """

    target_seconds: float
    gap_seconds: float
    part_seconds: float
    joint: bool
    value: float

    def engine_price(self, engine: Engine, answers: bool) -> float:
        """Return the price of a part at an engine, apart from that of its duration."""
        price = engine.forecast.interference(self.part_seconds, self.joint)
        price += self.value * engine.failure_share
        if not answers:
            return price + ENGINE_PRICE
        is_too_long = engine.forecast.exceeds_gap(self.gap_seconds, self.joint)
        return price + engine.answer_price + self.value * is_too_long

    def interference(self, engines: Iterable[Engine]) -> float:
        """Return the price of the lateness that a part at each engine causes there."""
        return sum(
            engine.forecast.interference(self.part_seconds, self.joint)
            for engine in engines
        )

    def time_price(self, seconds: float) -> float:
        """Return the price of a first event after a number of seconds."""
        share = seconds / self.target_seconds
        return self.value * _lateness(share) + TIME_PRICE * share

    def first_event(self, engine: Engine) -> float:
        """Return in how many seconds an engine would have read its part."""
        return engine.forecast.first_event(self.part_seconds, self.joint)

    def offers(self, engines: Sequence[Engine], answers: bool) -> list["Offer"]:
        """Return the price of a part at each engine, the cheapest first."""
        offers = [Offer(self._price(engine, answers), engine) for engine in engines]
        return sorted(offers, key=attrgetter("price", "engine.shuffle"))

    def _price(self, engine: Engine, answers: bool) -> float:
        price = self.engine_price(engine, answers)
        return price + self.time_price(self.first_event(engine))


class Split(NamedTuple):
    """How a prompt is divided among engines.

    ``parts`` engines read it, and the first ``holders`` of them reserve ``share``
    tokens of memory each.
    """

    parts: int
    holders: int
    share: int


class Offer(NamedTuple):
    """An engine and the price of a part there."""

    price: float
    engine: Engine


# Reorders offers, which are passed with the cheapest first.
Order = Callable[[Sequence[Offer]], Sequence[Offer]]


def weighted_random(price: float) -> Order:
    """Return an order that allows for requests in flight on the cheapest engines.

    ``price`` is what these requests cost altogether. Each is expected on the engine
    that is the cheapest at the time and raises its price, the more so the fewer slots
    are free there, until another engine is as cheap. The engines that they reach in
    this way are shuffled: each comes first with a probability proportional to the
    number of requests in flight expected there.
    """

    def order(offers: Sequence[Offer]) -> list[Offer]:
        level = _equalised_price(offers, price)

        def key(offer: Offer) -> tuple[float, float]:
            if offer.price >= level:
                return offer.price, offer.engine.shuffle
            expected = (level - offer.price) * offer.engine.free_slots
            # The smallest of several exponential variables belongs to each of them with
            # a probability proportional to its rate.
            return level, -log(1.0 - offer.engine.shuffle) / expected

        return sorted(offers, key=key)

    return order


def _equalised_price(offers: Sequence[Offer], price: float) -> float:
    """Return the price at which the cheapest engines are equal.

    Their prices are raised to it by ``price`` altogether, counted for each free slot.
    """
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
    """Return the engines for a prompt and their cost, or None if they can't hold it.

    The engines are chosen by price, or in the order that ``order`` returns.
    """
    parts, holders, share = split
    ranked = [offer.engine for offer in order(work.offers(engines, answers=True))]
    large_enough = [engine for engine in ranked if engine.free_tokens >= share]
    answering = next((engine for engine in large_enough if engine.may_answer), None)
    if answering is None or len(large_enough) < holders:
        return None
    others = [engine for engine in large_enough if engine is not answering]
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
    return Choice(cost, seconds, work.part_seconds, chosen)
