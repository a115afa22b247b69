"""Which engines read a prompt in so many parts, and at what price.

Load pattern: the same as in `cranberrywick.routing.placement`, which asks this for each
number of parts and takes the cheapest. Without one price for all, of what the prompt
itself loses by being late and of what it makes late where it is read, either it takes
the quickest engines and stops their answers, or it waits for ones that nobody needs.
"""

from collections.abc import Sequence
from typing import NamedTuple

from cranberrywick.routing.engine_model import EngineForecast

__all__ = ["ENGINE_PRICE", "Choice", "Engine", "Work", "choose"]

# Expected within this share of its target, a first event is on time whatever comes
# between; expected at the target, it is late as often as not.
SAFE_SHARE = 0.5
# Prices in units of a short request's lateness. Each is below one, so that it only
# decides between choices that make the same requests late. A first event earlier by
# a whole target is worth the least; one engine more has to save more than its news
# and its connection cost.
TIME_PRICE = 0.1
ENGINE_PRICE = 0.02


class Engine(NamedTuple):
    """What a choice asks of an engine.

    ``answer_price`` is that of one more answer written there, ``spread`` and
    ``shuffle`` are random.
    """

    endpoint_id: str
    forecast: EngineForecast
    free_tokens: int
    answer_price: float
    failure_share: float
    may_answer: bool
    spread: float
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
        price = engine.forecast.harm(self.reading, self.joint)
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

    def ranked(self, engines: Sequence[Engine], answers: bool) -> list[Engine]:
        """Return the engines, the cheapest for one part first."""

        def key(engine: Engine) -> tuple[float, float]:
            price = self.engine_price(engine, answers) + engine.spread
            return price + self.time_price(self.first_event(engine)), engine.shuffle

        return sorted(engines, key=key)


def choose(
    work: Work, engines: list[Engine], parts: int, holders: int, share: int
) -> Choice | None:
    """Return the best engines for this number of parts and their cost.

    The first ``holders`` of them hold ``share`` tokens each.
    """
    ranked = work.ranked(engines, answers=True)
    roomy = [engine for engine in ranked if engine.free_tokens >= share]
    answering = next((engine for engine in roomy if engine.may_answer), None)
    if answering is None or len(roomy) < holders:
        return None
    others = [engine for engine in roomy if engine is not answering]
    helping = others[: holders - 1]
    if parts > holders:
        held_ids = {engine.endpoint_id for engine in (answering, *helping)}
        free = [engine for engine in engines if engine.endpoint_id not in held_ids]
        helping += work.ranked(free, answers=False)[: parts - holders]
    chosen = (answering, *helping)
    seconds = max(work.first_event(engine) for engine in chosen)
    cost = work.engine_price(answering, answers=True) + work.time_price(seconds)
    cost += sum(work.engine_price(engine, answers=False) for engine in helping)
    return Choice(cost, seconds, work.reading, chosen)
