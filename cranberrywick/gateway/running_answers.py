"""The answers that a daemon is forwarding, as a measure of those to come."""

import asyncio
from collections.abc import Callable, Iterable

from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.routing.answer_lengths import AnswerOutline

__all__ = ["RunningAnswers"]

# For how long a list of what runs is used, in seconds.
LISTED_SECONDS = 0.05


class RunningAnswers:
    """Lists what runs, as of a moment ago.

    ``served`` returns the requests that are being served, and ``ticker`` knows when the
    process was suspended.
    """

    def __init__(self, served: Callable[[], Iterable[Exchange]], ticker: Ticker):
        self._served = served
        self._ticker = ticker
        self._loop = asyncio.get_running_loop()
        self._streams: list[AnswerOutline] = []
        self._streams_at = float("-inf")
        self._calls_by_route: dict[str, float] = {}
        self._calls_at = float("-inf")

    def streams(self) -> list[AnswerOutline]:
        """Return the streams whose events are being forwarded."""
        now = self._loop.time()
        if now - self._streams_at >= LISTED_SECONDS:
            self._streams_at = now
            self._streams = [each.outline() for each in self._served() if each.events]
        return self._streams

    def calls(self) -> dict[str, float]:
        """Return by route for how long an endpoint has worked on the oldest call."""
        now = self._loop.time()
        if now - self._calls_at >= LISTED_SECONDS:
            self._calls_at = now
            self._calls_by_route = {}
            for exchange in self._served():
                if exchange.in_flight and not exchange.is_stream:
                    running_since = self._ticker.running_since(exchange.sent_at, now)
                    age = min(exchange.worked_for(now), now - running_since)
                    name = exchange.route.name
                    longest = self._calls_by_route.get(name, 0.0)
                    self._calls_by_route[name] = max(longest, age)
        return self._calls_by_route
