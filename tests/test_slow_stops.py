"""Gateways that are stopped while their endpoints become slow, or fall silent.

Streams that are sent after 3 s of a stop rest on a forecast, which is wrong here.
"""

import pytest
from slow_stops import LATE_SECONDS, SlowScene, play_slow_stops

# Streams that are late are sent for some time before the endpoints become slow.
SLOW = SlowScene(
    stops=1, gateways=2, events=16, served_seconds=3.0, callers=36, slow_at=3.8
)
PEER = SLOW._replace(cut=1)
TOGETHER = SLOW._replace(stops=2, gap=0.0)
SERIES = SLOW._replace(gateways=3, stops=3, gap=1.0, slow_at=4.8)
CALLS = SLOW._replace(calls=36, slow_at=4.5)


def check_stops(path, scene, seed=1):
    """Assert that a scene's stops lose nothing, and are in time."""
    stops = play_slow_stops(path, scene, seed)
    assert stops.breaches == []
    moments = [(each.sent_at, stops.moment(each)) for each in stops.late()]
    assert any(sent_at > at + LATE_SECONDS for sent_at, at in moments)
    assert sum(each.is_served for each in stops.sent) > 100


@pytest.mark.parametrize(
    "scene", [PEER, SERIES, TOGETHER], ids=["peer", "series", "together"]
)
def test_late_streams_of_endpoints_that_become_slow_are_not_cut(tmp_path, scene):
    """Guards against streams sent late, as others were short, and cut at the close."""
    check_stops(tmp_path, scene)


def test_late_streams_of_endpoints_that_fall_silent_are_not_cut(tmp_path):
    """Guards against a late stream without an end that is cut in place of an error."""
    check_stops(tmp_path, SLOW._replace(is_silent=True))


def test_late_calls_of_endpoints_that_become_slow_get_an_answer(tmp_path):
    """Guards against calls that are lost or run twice as their endpoint is slow."""
    check_stops(tmp_path, CALLS)
