"""Which endpoints fail, judged by this daemon's own attempts.

Load pattern: an endpoint crashes, goes dark or fails part of its requests while its
record in the store still says that it is ready. It answers faster than the others
and looks idle, so without this it draws all new work and fails it.
"""

from collections.abc import Set
from typing import NamedTuple

__all__ = ["EndpointHealth"]

# An endpoint that failed gets nothing for this long, doubled with each failure in a
# row: it is noticed as gone from the store within some three heartbeats, a few seconds.
COOLDOWN_SECONDS = 0.5
MAX_COOLDOWN_SECONDS = 4.0
# Weight of the newest outcome in the share of failures: some ten outcomes count.
OUTCOME_WEIGHT = 0.1
# After so long without an attempt, half of a share of failures is forgotten. An
# endpoint that is passed over for its failures gets no chance to do better, and would
# stay out for good while others are free.
HALF_LIFE_SECONDS = 2.0


class _State(NamedTuple):
    failures: int
    cooldown_until: float
    failure_share: float
    judged_at: float

    def share(self, now: float) -> float:
        return self.failure_share * 0.5 ** ((now - self.judged_at) / HALF_LIFE_SECONDS)


_FRESH = _State(0, float("-inf"), 0.0, 0.0)


class EndpointHealth:
    """Gives endpoints that fail a cooldown, and remembers how often each fails."""

    def __init__(self) -> None:
        self._states_by_id: dict[str, _State] = {}

    def succeeded(self, endpoint_id: str, now: float) -> None:
        """Note an answer as it should be."""
        state = self._states_by_id.get(endpoint_id)
        if state is not None:
            share = state.share(now) * (1 - OUTCOME_WEIGHT)
            self._states_by_id[endpoint_id] = _State(0, float("-inf"), share, now)

    def failed(self, endpoint_id: str, now: float) -> float:
        """Note a failure of the endpoint and return its cooldown, in seconds."""
        state = self._states_by_id.get(endpoint_id, _FRESH)
        cooldown = min(COOLDOWN_SECONDS * 2**state.failures, MAX_COOLDOWN_SECONDS)
        self._states_by_id[endpoint_id] = _State(
            state.failures + 1, now + cooldown, _worse(state, now), now
        )
        return cooldown

    def answered_failure(self, endpoint_id: str, now: float) -> None:
        """Note an answer that is a failure; the endpoint itself lives.

        Some requests fail at every endpoint: a cooldown for each that says so would
        take all of them out, one after the other.
        """
        state = self._states_by_id.get(endpoint_id, _FRESH)
        self._states_by_id[endpoint_id] = state._replace(
            failure_share=_worse(state, now), judged_at=now
        )

    def is_cooling_down(self, endpoint_id: str, now: float) -> bool:
        """Whether the endpoint has just failed and should get nothing now."""
        return self._states_by_id.get(endpoint_id, _FRESH).cooldown_until > now

    def failure_share(self, endpoint_id: str, now: float) -> float:
        """Return how many of the last attempts failed, between 0 and 1."""
        state = self._states_by_id.get(endpoint_id)
        return state.share(now) if state else 0.0

    def keep_only(self, endpoint_ids: Set[str]) -> None:
        """Forget endpoints that are gone."""
        for endpoint_id in self._states_by_id.keys() - endpoint_ids:
            del self._states_by_id[endpoint_id]


def _worse(state: _State, now: float) -> float:
    share = state.share(now)
    return share + OUTCOME_WEIGHT * (1 - share)
