"""Gateways that see a stop later than it was asked for, since their loop is late."""

import time
from signal import SIGCONT, SIGSTOP, SIGTERM

import pytest
from stopping_fleet import GRACE_SECONDS
from stream_stops import (
    check_whole_or_refused,
    quick_fleet,
    send_stream,
)

# Rule LOST: a stream that is sent later is never cut by its gateway's stop, in seconds.
LATE_SECONDS = 3.0
# When a gateway stands still that is about to close its connections, after the signal,
# and for how long, in seconds.
STALLED_AT, STALLED_SECONDS = 6.5, 1.2


def stop_late(fleet, gateway, seconds):
    """Tell a gateway to stop that runs on so much later; return the moment."""
    gateway.process.send_signal(SIGSTOP)
    signalled_at = fleet.stop(gateway, SIGTERM)
    time.sleep(seconds)
    gateway.process.send_signal(SIGCONT)
    return signalled_at


@pytest.mark.parametrize("seconds", [0.1, 0.4])
def test_a_stream_sent_3_s_after_a_signal_that_is_seen_late_is_not_cut(
    tmp_path, seconds
):
    """Guards against streams that count as early by the moment of seeing the signal."""
    with quick_fleet(tmp_path, gateways=1) as fleet:
        (gateway,) = fleet.gateways
        # Keeps the gateway from its end.
        running = send_stream(fleet, gateway, 120, tokens=4000)
        fleet.wait_until_seen(gateway)
        signalled_at = stop_late(fleet, gateway, seconds)
        callers = []
        for after in (0.01, seconds / 2, seconds - 0.05):
            due = signalled_at + LATE_SECONDS + after
            time.sleep(max(0.0, due - time.monotonic()))
            callers.append(send_stream(fleet, gateway, 110, tokens=4000))
        check_whole_or_refused(fleet, callers)
        running.answer()
        assert gateway.process.wait(GRACE_SECONDS) == 0


def test_an_answer_that_is_whole_at_its_endpoint_before_the_close_is_not_cut(tmp_path):
    """Guards against a close before the loop has read what endpoints have sent."""
    with quick_fleet(tmp_path, gateways=1) as fleet:
        (gateway,) = fleet.gateways
        fleet.keep_pace()
        # They end 5.9 to 6.9 s after the signal at their endpoints.
        callers = [
            send_stream(fleet, gateway, events, tokens=51 * events)
            for events in range(124, 145, 2)
        ]
        fleet.wait_until_seen(gateway)
        time.sleep(0.2)
        signalled_at = fleet.stop(gateway)
        time.sleep(max(0.0, signalled_at + STALLED_AT - time.monotonic()))
        gateway.process.send_signal(SIGSTOP)
        time.sleep(STALLED_SECONDS)
        gateway.process.send_signal(SIGCONT)
        whole = check_whole_or_refused(fleet, callers)
        assert whole == len(callers)
