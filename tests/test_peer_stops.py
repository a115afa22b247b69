"""Streams that a gateway gets through a peer, at the stops of either."""

import re
import time

from cut_scenes import forwarded_to, make_unreached
from stopping_fleet import running_stopping_fleet
from stream_stops import quicken_engines, send_stream

# The events of streams that outlast the stop of a peer, and end before that of the
# gateway that has their callers, which is told to stop so much later, in seconds.
EVENTS, LATER_SECONDS = 165, 1.6
# Those of a peer are at work when it is told to stop, after so many seconds.
BEGUN_SECONDS = 0.2


def test_a_stream_through_a_peer_that_stops_is_whole(tmp_path):
    """Guards against streams that end with the connection of a peer that stops."""
    with running_stopping_fleet(tmp_path, gateways=3) as fleet:
        quicken_engines(fleet, 2)
        fleet.keep_pace()
        fleet.endpoints["desk-1"].work_seconds = 0.02
        gateway, *peers = fleet.gateways
        make_unreached(fleet, gateway)
        sent_at = time.monotonic()
        callers = [send_stream(fleet, gateway, EVENTS) for _ in range(8)]
        time.sleep(BEGUN_SECONDS)
        fleet.stop(peers[0])
        time.sleep(LATER_SECONDS)
        fleet.stop(gateway)
        passed_on = 0
        for caller in callers:
            answer = caller.answer()
            taken = caller.ended_at - sent_at
            assert (answer.status, answer.whole) == (200, True), f"after {taken:.2f} s"
            pieces = [int(each) for each in re.findall(rb"piece (\d+)\n", answer.body)]
            assert pieces == list(range(1, EVENTS + 1))
            passed_on += len(forwarded_to(fleet, caller.request_id)) > 1
        assert passed_on
