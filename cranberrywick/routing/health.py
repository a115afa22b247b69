"""Detection of failing endpoints, from the outcomes of this daemon's own attempts.

Load pattern: an endpoint crashes, stops answering or fails some of its requests while
its record in the store still says that it is ready. Since it fails requests faster than
the others answer theirs, it looks idle; without this module it would receive all new
work, and fail it.
"""

from collections.abc import Set
from typing import NamedTuple

__all__ = ["EndpointHealth"]

# Cooldown after a failure, in seconds; it doubles with each failure in a row, up to the
# maximum. Cooldowns cover the time until the store shows that a dead endpoint is gone,
# which takes about three of its heartbeats, a few seconds.
COOLDOWN_SECONDS = 0.5
MAX_COOLDOWN_SECONDS = 4.0
# Weight of the newest outcome in the moving average of failures, which thus covers
# about ten outcomes.
OUTCOME_WEIGHT = 0.1
# Without attempts, the failure share halves in this many seconds. An endpoint that is
# avoided for its failures has no attempts to improve its share, and without the decay
# would be avoided for ever while others are free.
HALF_LIFE_SECONDS = 2.0


class _State(NamedTuple):
    failures: int
    cooldown_until: float
    failure_share: float
    judged_at: float

    def share(self, now: float) -> float:
        return self.failure_share * 0.5 ** ((now - self.judged_at) / HALF_LIFE_SECONDS)


_NO_FAILURES = _State(0, float("-inf"), 0.0, 0.0)


class EndpointHealth:
    """Sets cooldowns for failing endpoints and tracks the failure share of each."""

    def __init__(self) -> None:
        self._states_by_id: dict[str, _State] = {}

    def succeeded(self, endpoint_id: str, now: float) -> None:
        """Record a successful answer."""
        state = self._states_by_id.get(endpoint_id)
        if state is not None:
            share = state.share(now) * (1 - OUTCOME_WEIGHT)
            self._states_by_id[endpoint_id] = _State(0, float("-inf"), share, now)

    def failed(self, endpoint_id: str, now: float) -> float:
        """Record a failure of the endpoint and return its cooldown, in seconds."""
        state = self._states_by_id.get(endpoint_id, _NO_FAILURES)
        cooldown = min(COOLDOWN_SECONDS * 2**state.failures, MAX_COOLDOWN_SECONDS)
        self._states_by_id[endpoint_id] = _State(
            state.failures + 1, now + cooldown, _share_after_failure(state, now), now
        )
        return cooldown

    def answered_failure(self, endpoint_id: str, now: float) -> None:
        """Record an answer that reports a failure; the endpoint itself is alive.

        It causes no cooldown: some requests fail at every endpoint, and would take all
        of them out of use one after the other.
        """
        state = self._states_by_id.get(endpoint_id, _NO_FAILURES)
        self._states_by_id[endpoint_id] = state._replace(
            failure_share=_share_after_failure(state, now), judged_at=now
        )

    def is_cooling_down(self, endpoint_id: str, now: float) -> bool:
        """Whether the endpoint has just failed and should get no requests now."""
        return self._states_by_id.get(endpoint_id, _NO_FAILURES).cooldown_until > now

    def failure_share(self, endpoint_id: str, now: float) -> float:
        """Return the share of recent attempts that failed, between 0 and 1."""
        state = self._states_by_id.get(endpoint_id)
        return state.share(now) if state else 0.0

    def forget(self, endpoint_id: str) -> None:
        """Remove the state of an endpoint."""
        self._states_by_id.pop(endpoint_id, None)

    def keep_only(self, endpoint_ids: Set[str]) -> None:
        """Remove the state of all endpoints but these."""
        for endpoint_id in self._states_by_id.keys() - endpoint_ids:
            del self._states_by_id[endpoint_id]


def _share_after_failure(state: _State, now: float) -> float:
    share = state.share(now)
    return share + OUTCOME_WEIGHT * (1 - share)
