"""How long the connections of callers and endpoints may be silent."""

from cranberrywick.gateway.tcp_options import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_MS,
)

# A sound endpoint may fall silent for a second or so and go on.
PAUSE_SECONDS = 2.0


def test_the_user_timeout_leaves_the_probes_their_time():
    """Guards against the connection of an endpoint that pauses being closed.

    The kernel ends the probes with the user timeout, whatever their number.
    """
    probing = KEEPALIVE_IDLE_SECONDS + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_SECONDS
    assert USER_TIMEOUT_MS >= 1000 * probing
    assert probing > PAUSE_SECONDS
