"""Streams that a stopping gateway has time for, although it knows few like them.

Guards against refusals of streams that will end, or that nobody else would serve.
"""

import time

import pytest
from gateway_fleet import wait_for
from stream_stops import (
    check_ended,
    check_refused_at_once,
    check_whole_or_refused,
    quick_fleet,
    send_stream,
    serve,
    stop_and_wait,
)

from cranberrywick.standin.platform.demo import ENGINE

STRIDE = ENGINE["stride"]


def stop_some(fleet, stopping):
    """Tell the first gateways to stop; return the first one and the moment.

    If all of them stop, the first one knows it then.
    """
    first = fleet.gateways[0]
    signalled_at = stop_and_wait(fleet, first, 0.0)
    for other in fleet.gateways[1:stopping]:
        fleet.stop(other)
    if stopping == len(fleet.gateways):
        wait_for(lambda: fleet.addresses(first) == [first.front], "the peers to leave")
    return first, signalled_at


def send_at(fleet, gateway, moment, events, tokens):
    """Send four streams at a moment."""
    time.sleep(max(0.0, moment - time.monotonic()))
    return [send_stream(fleet, gateway, events, tokens) for _ in range(4)]


def serve_at(fleet, gateway, moment, events, tokens):
    """Send four streams at a moment; return how many were whole, none being cut."""
    callers = send_at(fleet, gateway, moment, events, tokens)
    return check_whole_or_refused(fleet, callers)


@pytest.mark.parametrize("tokens", [400, 10 * STRIDE])
def test_the_first_streams_of_a_fleet_that_stops_are_served(tmp_path, tokens):
    """Guards against a stop that refuses streams since it has seen few or none."""
    with quick_fleet(tmp_path, gateways=3) as fleet:
        gateway, signalled_at = stop_some(fleet, 3)
        for after in (0.3, 1.2, 2.7):
            moment = signalled_at + after
            assert serve_at(fleet, gateway, moment, 10, tokens) == 4
        check_ended(gateway, signalled_at)


@pytest.mark.parametrize("stopping", [1, 3])
def test_streams_as_long_as_engines_declare_are_served_late(tmp_path, stopping):
    """Guards against declared lengths that are used only after dozens of answers.

    Streams are served by another gateway if there is one.
    """
    with quick_fleet(tmp_path, gateways=3) as fleet:
        serve(fleet, fleet.gateways[0], [20] * 4, tokens=20 * STRIDE)
        gateway, signalled_at = stop_some(fleet, stopping)
        for after in (3.3, 4.5, 5.5):
            moment = signalled_at + after
            callers = send_at(fleet, gateway, moment, 10, 10 * STRIDE)
            if stopping == 1:
                check_refused_at_once(fleet, callers)
                other = fleet.gateways[1]
                callers = send_at(fleet, other, moment, 10, 10 * STRIDE)
            assert check_whole_or_refused(fleet, callers) == 4
        check_ended(gateway, signalled_at)


def test_a_few_long_answers_leave_streams_served_while_all_stop(tmp_path):
    """Guards against a bound from few answers that refuses what nobody else serves."""
    with quick_fleet(tmp_path, gateways=3) as fleet:
        serve(fleet, fleet.gateways[0], [70] * 16)
        gateway, signalled_at = stop_some(fleet, 3)
        assert serve_at(fleet, gateway, signalled_at + 0.3, 30, 400) == 4
        check_ended(gateway, signalled_at)


def test_streams_longer_than_declared_are_not_sent_late(tmp_path):
    """Guards against a declared length that answers have shown to be wrong."""
    with quick_fleet(tmp_path, gateways=3) as fleet:
        # Four of them have just as many events as declared.
        serve(fleet, fleet.gateways[0], [8] * 4 + [80])
        gateway, signalled_at = stop_some(fleet, 1)
        assert serve_at(fleet, gateway, signalled_at + 4.0, 80, 400) == 0
        check_ended(gateway, signalled_at)
