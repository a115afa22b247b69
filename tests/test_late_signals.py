"""Gateways that see a stop later than it was asked for, since their loop is late."""

import time
from signal import SIGCONT, SIGSTOP, SIGTERM

import pytest
from stopping_fleet import GRACE_SECONDS
from stream_stops import check_whole_or_refused, quick_fleet, send_stream

# Rule LOST: a stream that is sent later is never cut by its gateway's stop, in seconds.
LATE_SECONDS = 3.0


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
