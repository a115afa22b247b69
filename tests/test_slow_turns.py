"""Gateways that stop while each turn of their event loop takes long."""

import time

import pytest
from gateway_fleet import PROMPT_HEADERS, start_process, wait_for
from stopping_fleet import DEADLINE, GRACE_SECONDS, StoppingFleet

EVENT_SECONDS = 0.05
# Streams that the stop cuts, and how many of them run.
EVENTS, STREAMS = 400, 4
# A stream may be cut from this moment on, in seconds from the signal.
CUT_SECONDS = GRACE_SECONDS * 5 / 6


class SlowTurnFleet(StoppingFleet):
    """Gateways whose event loop needs ``turn`` seconds for each turn of a stop."""

    turn = 0.0

    def start_process(self, settings, log):
        return start_process(settings, log, "slow_turn_gateway.py", TURN=str(self.turn))


@pytest.fixture
def fleet(tmp_path):
    fleet = SlowTurnFleet(tmp_path)
    fleet.reconfigure()
    fleet.add_endpoint("engine-1", "pool", event_seconds=EVENT_SECONDS)
    yield fleet
    fleet.close()


@pytest.mark.parametrize("turn", [0.02, 0.04])
def test_a_gateway_whose_turns_are_slow_ends_before_it_is_killed(fleet, turn):
    """Guards against a stop whose last steps take too many turns of a late loop."""
    fleet.turn = turn
    gateway = fleet.start_gateway("gateway-0")
    headers = {**PROMPT_HEADERS, **DEADLINE, "X-Events": str(EVENTS)}
    streams = [
        fleet.send(gateway, "POST", f"/prompts/{n}", headers) for n in range(STREAMS)
    ]
    engine = fleet.endpoints["engine-1"]
    wait_for(lambda: len(engine.at_work) == STREAMS, "the streams to run")
    signalled_at = fleet.stop(gateway)
    assert gateway.process.wait(2 * GRACE_SECONDS) == 0
    assert time.monotonic() - signalled_at < GRACE_SECONDS, gateway.log[-900:]
    for stream in streams:
        assert (stream.answer().status, stream.answer().whole) == (200, False)
        assert stream.ended_at - signalled_at > CUT_SECONDS
