"""How long endpoints want no requests from this daemon.

Load pattern: an overloaded endpoint refuses requests and states a time in which it
wants no others from this daemon. Several requests of the daemon are under way at that
moment: some are refused later, with another time, and some succeed. If the newest
answer decided, or a cooldown of the daemon's own choice, requests would reach the
endpoint within the time it has asked for and keep it overloaded.

The latest end counts, and no answer brings it forward. The time concerns this daemon
only, so it isn't sent to others: the endpoint itself says whom it wants to wait.
"""

from math import inf

__all__ = ["EndpointBackoffs"]

# Longest backoff, in seconds. An endpoint that states a longer one by mistake must not
# be out of use until it starts again.
MAX_BACKOFF_SECONDS = 3600.0


class EndpointBackoffs:
    """The end of each endpoint's backoff, for the start that requested it.

    It holds for earlier starts too, whose records an older copy of the store may show.
    ``born`` identifies the start of an endpoint, as in its record.

    >>> backoffs = EndpointBackoffs()
    >>> backoffs.request("e1", born=1, seconds=3.0, now=10.0)
    13.0
    >>> backoffs.request("e1", born=1, seconds=0.5, now=10.1)
    13.0
    >>> backoffs.until("e1", born=2)
    -inf
    """

    def __init__(self) -> None:
        self._until_by_start: dict[tuple[str, int], float] = {}

    def __bool__(self) -> bool:
        return bool(self._until_by_start)

    def request(self, endpoint_id: str, born: int, seconds: float, now: float) -> float:
        """Record a refusal at ``now`` and return the time at which the backoff ends."""
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        until = max(until, self.until(endpoint_id, born))
        self._until_by_start[endpoint_id, born] = until
        return until

    def until(self, endpoint_id: str, born: int) -> float:
        """Return when the last backoff ends or has ended; minus infinity if none."""
        return max(
            (
                until
                for (each_id, requested), until in self._until_by_start.items()
                if each_id == endpoint_id and requested >= born
            ),
            default=-inf,
        )

    def end(self, now: float) -> list[tuple[str, int]]:
        """Remove the backoffs that are over; return the endpoints' ids and starts."""
        ended = [start for start, until in self._until_by_start.items() if until <= now]
        for start in ended:
            del self._until_by_start[start]
        return ended
