"""Gateways that are stopped one second apart while each stands still now and then.

Guards against streams that are lost since a gateway's loop is late around its stop.
"""

from late_stops import play_late_stops

STOPS, GAP_SECONDS = 3, 1.0
# The longest time for which a gateway stands still.
STALL_SECONDS = 0.45


def test_gateways_that_are_late_lose_no_stream(tmp_path):
    """Guards against streams that a late loop cuts, or leaves without an answer."""
    scene = play_late_stops(tmp_path, STOPS, GAP_SECONDS, busy=0, stall=STALL_SECONDS)
    assert [scene.describe(each) for each in scene.lost] == []
    assert all(status == 0 for _, _, status in scene.ends)
    assert sum(each.whole and each.status == 200 for each in scene.sent) > 100
