"""Gateways that are suspended beside their signals to stop.

Guards against a window of the stop that moves with a moment which isn't the signal's.
"""

import time

import pytest
from gateway_fleet import request_bytes, wait_for
from stop_stalls import (
    FIRST_CUT_SECONDS,
    LAST_CUT_SECONDS,
    Stall,
    beside_the_signal,
    play,
)
from stopping_fleet import DEADLINE
from stream_stops import check_ended, check_whole_or_refused, quick_fleet, send_stream

SEED = 1
# From the moment at which a signal counts as sent until it is, in seconds.
SIGNAL_SECONDS = 0.04
# So many requests at once keep an event loop busy for over a second, and when the
# signal comes, in seconds after them.
BURST, BUSY_SECONDS = 4000, 1.2


def check(stops):
    """Assert that stops kept their promises."""
    faults = [fault for each in stops for fault in each.faults]
    assert not faults, "\n".join([*faults, *map(str, stops)])


@pytest.mark.parametrize("seconds", [0.6, 1.0, 1.5, 3.0])
def test_a_stall_beside_the_signal_cuts_no_stream_early(tmp_path, seconds):
    """Guards against streams cut as if the signal had come when a stall began."""
    check(play(beside_the_signal(seconds), SEED, tmp_path))


def test_a_series_of_stops_with_stalls_cuts_no_stream_early(tmp_path):
    """Guards against the same where others still serve, or have just stopped."""
    stalls = beside_the_signal(1.2)
    check(play(stalls, SEED, tmp_path, callers=12, gap=1.0, going_on=1))


def test_stalls_within_the_grace_period_cut_no_stream_early(tmp_path):
    """Guards against what was due in a stall and is done late, or moves with it."""
    stalls = [
        [Stall(-1.2, 1.17), Stall(1.0, 1.5)],
        [Stall(-1.2, 1.25), Stall(0.3, 0.7), Stall(4.0, 1.0)],
        [Stall(2.5, 1.0), Stall(5.0, 1.5)],
        [Stall(-0.8, 0.75), Stall(0.0, 0.8), Stall(6.2, 0.8)],
    ]
    check(play(stalls, SEED, tmp_path))


def test_a_signal_to_a_busy_gateway_cuts_no_stream_early(tmp_path):
    """Guards against a busy event loop that is taken for a suspended process."""
    with quick_fleet(tmp_path, gateways=1) as fleet:
        (gateway,) = fleet.gateways
        connections = [fleet.connect(gateway) for _ in range(BURST)]
        streams = [send_stream(fleet, gateway, 200) for _ in range(8)]
        wait_for(
            lambda: all(fleet.runs(each.request_id) for each in streams),
            "the streams to begin",
        )
        for connection in connections:
            request_id = fleet.new_id()
            connection.sendall(
                request_bytes("POST", "/none/1", b"", DEADLINE, request_id)
            )
        time.sleep(BUSY_SECONDS)
        signalled_at = fleet.stop(gateway)
        for stream in streams:
            stream.answer()
            assert stream.ended_at - signalled_at > FIRST_CUT_SECONDS
        check_ended(gateway, signalled_at)
        for connection in connections:
            connection.close()


def test_streams_sent_late_after_a_signal_that_arrives_late_are_not_cut(tmp_path):
    """Guards against streams that are early only by the moment the signal is seen."""
    with quick_fleet(tmp_path, gateways=1) as fleet:
        (gateway,) = fleet.gateways
        for endpoint_id in ("engine-1", "engine-2"):
            fleet.endpoints[endpoint_id].event_seconds = 0.2
        # A gateway without requests would end before.
        data = request_bytes("POST", "/books/1", b"body", DEADLINE, fleet.new_id())
        with fleet.connect(gateway) as unfinished:
            unfinished.sendall(data[:-1])
            fleet.wait_until_seen(gateway)
            late_from = time.monotonic() + LAST_CUT_SECONDS
            time.sleep(SIGNAL_SECONDS)
            fleet.stop(gateway)
            time.sleep(max(0.0, late_from - time.monotonic()))
            callers = [send_stream(fleet, gateway, 40) for _ in range(4)]
            check_whole_or_refused(fleet, callers)
