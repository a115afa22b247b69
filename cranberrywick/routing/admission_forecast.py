"""When a request without a slot gets one, whether that is too late, when to retry.

Load pattern: callers send more requests than the engines of a service have slots for.
Without a forecast each request that can't be served waits until its deadline and is
refused when no time for a retry is left. A burst that the slots absorb before the
deadlines looks the same at its start, so a forecast has to be far too late before a
request is refused for it.
"""

import random
from typing import NamedTuple

from cranberrywick.routing.retry_after import LimitedReturns

__all__ = ["SlotForecast", "SlotReturns", "forecast_slot", "is_unservable"]

# The part of a forecast that has to be too late before a request is refused. Statements
# of peers are up to a heartbeat old, and the order between daemons is not kept, so
# waits of half the forecast are usual.
CERTAIN_SHARE = 0.5
# Callers honour a retry time up to this part of the time that they have left.
ACCEPTED_SHARE = 1 / 3


class SlotForecast(NamedTuple):
    """The wait for a slot: requests to be served first, and slots freed a second.

    ``ahead`` counts the requests of the same or a more urgent rank that wait in the
    fleet, without the one that the forecast is for.
    """

    ahead: int
    slots_per_second: float

    @property
    def seconds(self) -> float:
        """After how many seconds the request should get a slot."""
        return (self.ahead + 1) / self.slots_per_second


def forecast_slot(
    ahead: int, slots_in_use: int, mean_held_seconds: float
) -> SlotForecast | None:
    """Return the forecast for a request that finds no slot; None if it is unknown.

    It is unknown if no mean time has been measured for which requests hold their slot,
    or if no slot is known to be in use.

    >>> forecast_slot(ahead=89, slots_in_use=360, mean_held_seconds=4.0).seconds
    1.0
    """
    if mean_held_seconds <= 0 or slots_in_use <= 0:
        return None
    return SlotForecast(ahead, slots_in_use / mean_held_seconds)


def is_unservable(
    forecast: SlotForecast, seconds_left: float, first_event_seconds: float
) -> bool:
    """Whether a request gets its slot too late for an answer, beyond doubt.

    ``seconds_left`` is the time until its deadline, ``first_event_seconds`` the least
    time from the slot to the first event of the answer.
    """
    return CERTAIN_SHARE * forecast.seconds > seconds_left - first_event_seconds


class SlotReturns:
    """Spaces out the retries of refused callers, by a daemon's share of free slots.

    >>> returns = SlotReturns(random.Random())
    >>> returns.retry_seconds("drafting", SlotForecast(89, 90.0), 88, 9.0, now=10.0)
    1.13
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._returns = LimitedReturns(rng)

    def retry_seconds(
        self,
        service: str,
        forecast: SlotForecast,
        daemons: int,
        seconds_left: float,
        now: float,
    ) -> float:
        """Return after how many seconds a refused caller should retry.

        That is never before the forecast. It is not later than the caller accepts if a
        slot is expected before that; the caller has ``seconds_left`` to its deadline.
        """
        wait = forecast.seconds
        pause = max(1, daemons) / forecast.slots_per_second
        seconds = self._returns.retry_seconds(service, wait, pause, now)
        accepted = ACCEPTED_SHARE * seconds_left
        if wait <= accepted < seconds:
            # Callers that all got the longest time that they accept would return
            # together if they had been refused together.
            return self._rng.uniform(wait, accepted)
        return max(wait, seconds)
