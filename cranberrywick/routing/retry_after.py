"""When a caller that could not be served is told to come back.

Load pattern: a daemon starts, or an outage of the store leaves it without endpoints,
while callers press, each with one retry left. Told to come back too soon, a caller
spends its retry on the same refusal; too late, and its own time is over.
"""

__all__ = ["retry_after_seconds"]

# A daemon that has just started reads the store for the first time, which takes some
# milliseconds.
STARTING_SECONDS = 0.3
# Where a configuration is known and no endpoint: by then another reading of the store
# has come, and an endpoint that starts has registered.
NO_ENDPOINT_SECONDS = 1.0
# Where the store answers nothing either: it is away for seconds rather than moments.
STORE_AWAY_SECONDS = 2.0


def retry_after_seconds(store_is_away: bool, has_configuration: bool) -> float:
    """Return after how many seconds a request without an endpoint may succeed."""
    if store_is_away:
        return STORE_AWAY_SECONDS
    return NO_ENDPOINT_SECONDS if has_configuration else STARTING_SECONDS
