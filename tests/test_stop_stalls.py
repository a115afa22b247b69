"""Gateways that are suspended beside their signals to stop.

Guards against a window of the stop that moves with a moment which isn't the signal's.
"""

import pytest
from stop_stalls import Stall, beside_the_signal, play

SEED = 1


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
