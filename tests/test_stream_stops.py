"""Streams of very unlike lengths that come while a gateway stops.

Guards against streams that are cut in the middle because they take longer than was
expected, and against refusals of those that will surely be whole.
"""

import time

import pytest
from gateway_fleet import wait_for
from stopping_fleet import DEADLINE
from stream_stops import (
    StopScene,
    check_ended,
    check_refused_at_once,
    check_whole_or_refused,
    play,
    quick_fleet,
    send_stream,
    serve,
    stop_all_and_wait,
    stop_and_wait,
    stream_headers,
    summary,
)


@pytest.mark.parametrize(
    "scene",
    [
        StopScene(served_seconds=-3.0),
        StopScene(served_seconds=4.0, callers=6),
        StopScene(gateways=3, stopping=3, served_seconds=2.0, callers=6),
    ],
    ids=["just-started", "has-served", "all-stop"],
)
def test_streams_that_come_after_the_signal_are_not_cut(tmp_path, scene):
    """Guards against streams cut at the end of a stop that began before they came."""
    streams = play(scene, 11, tmp_path)
    lost = [str(each) for each in streams if each.is_lost]
    assert not lost, f"{summary(streams)}: {lost}"


def test_streams_longer_than_most_are_refused(tmp_path):
    """Guards against a stop that expects each answer to be like the short ones."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        serve(fleet, gateway, [80, 80])
        serve(fleet, gateway, [2] * 30)
        signalled_at = stop_and_wait(fleet, gateway, 3.6)
        callers = [send_stream(fleet, gateway, 80) for _ in range(6)]
        assert check_whole_or_refused(fleet, callers) == 0
        assert all(caller.ended_at - signalled_at < 4.5 for caller in callers)
        check_ended(gateway, signalled_at)


def test_streams_that_state_more_than_those_before_are_refused(tmp_path):
    """Guards against a bound from short answers that is used for long ones."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        serve(fleet, gateway, [8, 3] * 15, tokens=8)
        signalled_at = stop_all_and_wait(fleet, gateway, 4.0)
        long = [send_stream(fleet, gateway, 80, tokens=400) for _ in range(4)]
        short = [send_stream(fleet, gateway, 8, tokens=8) for _ in range(4)]
        assert check_whole_or_refused(fleet, long) == 0
        assert check_whole_or_refused(fleet, short) == 4
        check_ended(gateway, signalled_at)


def test_streams_at_engines_that_became_slower_are_not_cut(tmp_path):
    """Guards against the pace of before that is expected of slower engines."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        serve(fleet, gateway, [20, 16, 12, 4] * 6)
        # The pauses of streams that run show how fast their engines are.
        running = [send_stream(fleet, gateway, 60, tokens=4000) for _ in range(8)]
        signalled_at = stop_and_wait(fleet, gateway, 2.0)
        for endpoint_id in ("engine-1", "engine-2"):
            fleet.endpoints[endpoint_id].event_seconds = 0.4
        time.sleep(2.0)
        callers = [send_stream(fleet, gateway, 20) for _ in range(4)]
        check_whole_or_refused(fleet, callers)
        assert all(caller.ended_at is None for caller in running)
        check_ended(gateway, signalled_at)


@pytest.mark.parametrize("stopping", [1, 3])
def test_what_will_be_whole_is_served_until_late(tmp_path, stopping):
    """Guards against a stop that refuses all that comes late, and all stopping.

    Streams are served by another gateway if there is one.
    """
    with quick_fleet(tmp_path, gateways=3) as fleet:
        gateway = fleet.gateways[0]
        serve(fleet, gateway, [10, 8, 5, 1] * 10)
        for n in range(10):
            assert fleet.call(gateway, "GET", f"/reads/{n}").status == 200
        signalled_at = stop_and_wait(fleet, gateway, 0.0)
        for other in fleet.gateways[1:stopping]:
            fleet.stop(other)
        for after in (3.3, 4.5, 5.5):
            time.sleep(max(0.0, signalled_at + after - time.monotonic()))
            callers = [fleet.send(gateway, "GET", "/reads/1") for _ in range(4)]
            callers += [fleet.send(gateway, "POST", "/books/1") for _ in range(2)]
            streams = [send_stream(fleet, gateway, 10) for _ in range(4)]
            if stopping == 1:
                check_refused_at_once(fleet, streams)
                streams = [send_stream(fleet, fleet.gateways[1], 10) for _ in streams]
            assert check_whole_or_refused(fleet, callers + streams) == 10
        check_ended(gateway, signalled_at)


@pytest.mark.parametrize(("most", "served"), [(10, 4), (80, 0)])
def test_a_gateway_that_has_just_started_knows_what_its_peers_know(
    tmp_path, most, served
):
    """Guards against a stop just after the start, when nothing is known of lengths."""
    with quick_fleet(tmp_path, gateways=1) as fleet:
        serve(fleet, fleet.gateways[0], [most, most // 2, 1, 1] * 10)
        late = fleet.start_gateway("late")
        wait_for(lambda: "engine-2" in late.log, "the engines to be known")
        signalled_at = stop_all_and_wait(fleet, late, 4.0)
        callers = [send_stream(fleet, late, most) for _ in range(4)]
        assert check_whole_or_refused(fleet, callers) == served
        check_ended(late, signalled_at)


def test_streams_whose_hint_is_short_are_served_late(tmp_path):
    """Guards against a stop that takes each stream of a route for its longest."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        hints_by_length = {60: 300, 40: 400, 30: 200, 6: 24, 5: 25, 4: 24, 3: 24}
        lengths = [60, 40, 30, 6, 5, 4, 3] * 6
        callers = [
            send_stream(fleet, gateway, events, hint=hints_by_length[events])
            for events in lengths
        ]
        assert all(caller.answer().status == 200 for caller in callers)
        signalled_at = stop_all_and_wait(fleet, gateway, 4.3)
        short = [send_stream(fleet, gateway, 5, hint=30) for _ in range(4)]
        long = [send_stream(fleet, gateway, 80, hint=560) for _ in range(4)]
        assert check_whole_or_refused(fleet, short) == 4
        assert check_whole_or_refused(fleet, long) == 0
        check_ended(gateway, signalled_at)


@pytest.mark.parametrize(
    ("begun_before", "broken_after"), [(2.0, -1.0), (0.3, 1.0), (0.3, 4.6)]
)
def test_a_stream_that_its_endpoint_breaks_off_is_resumed(
    tmp_path, begun_before, broken_after
):
    """Guards against a resumption refused for the time of a whole answer."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        serve(fleet, gateway, [89, 60, 40, 30] * 5)
        stream = send_stream(fleet, gateway, 120)
        begun_at = time.monotonic()
        wait_for(lambda: fleet.runs(stream.request_id) == 1, "the stream to begin")
        (first,) = (
            each
            for each in fleet.endpoints.values()
            if stream.request_id in each.at_work
        )
        signal_at = begun_at + begun_before
        break_at = signal_at + broken_after
        for at in sorted((signal_at, break_at)):
            time.sleep(max(0.0, at - time.monotonic()))
            if at == signal_at:
                signalled_at = fleet.stop(gateway)
            else:
                first.behaviour = "cut"
        answer = stream.answer()
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body.count(b"data:") == 120
        assert fleet.runs(stream.request_id) == 2
        check_ended(gateway, signalled_at)


def test_a_stream_that_its_caller_resumes_needs_time_for_the_rest_only(tmp_path):
    """Guards against a refusal for events that the caller has already."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        serve(fleet, gateway, [80, 60, 40, 20] * 12)
        signalled_at = stop_all_and_wait(fleet, gateway, 4.5)
        headers = {**stream_headers(80), **DEADLINE, "Last-Event-Id": "70"}
        caller = fleet.send(gateway, "POST", "/prompts/1", headers)
        assert check_whole_or_refused(fleet, [caller]) == 1
        assert caller.answer().body.count(b"data:") == 10
        check_ended(gateway, signalled_at)


@pytest.mark.parametrize("after", [5.4, 5.6, 5.8])
def test_streams_that_wait_for_a_permit_are_not_sent_too_late(tmp_path, after):
    """Guards against a stream that is whole in time only without the wait before it."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        serve(fleet, gateway, [30, 25, 20, 10] * 5, tokens=30)
        for endpoint_id in ("engine-1", "engine-2"):
            fleet.endpoints[endpoint_id].rate_limit = 2.0
        serve(fleet, gateway, [1, 1], tokens=30)
        signalled_at = stop_and_wait(fleet, gateway, after)
        callers = [send_stream(fleet, gateway, 30, tokens=30) for _ in range(12)]
        check_whole_or_refused(fleet, callers)
        check_ended(gateway, signalled_at)
