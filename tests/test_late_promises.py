"""Streams sent late in a stop, in every way in which a gateway sends one."""

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest
from cut_scenes import make_unreached
from stream_stops import (
    check_ended,
    check_whole_or_refused,
    quick_fleet,
    send_stream,
    serve,
    stop_and_wait,
)

# When the last streams are sent and their engines become slow, in seconds from the
# signal. At the usual pause between events they would be whole at 4.1 s.
SENT_SECONDS, SLOW_SECONDS = 3.0, 3.4
EVENTS = 20
# The lengths of the streams from which the gateway knows how long others are.
EARLIER = [20, 16, 12, 8] * 10
# The pause between events of an engine that has become slow, in seconds.
SLOW_EVENT_SECONDS = 0.5
# When calls are sent whose answers are longer than a gateway keeps, in seconds from the
# signal, and how long slow and quick ones take.
CALLED_SECONDS = 4.0
SLOW_ANSWER_SECONDS, QUICK_ANSWER_SECONDS = 4.2, 0.3
LONG_PARTS, PART_BYTES = 60, 100_000


def become_slow(fleet):
    """Let the engines take ten times as long for each event from now on."""
    for endpoint_id, endpoint in fleet.endpoints.items():
        if endpoint_id.startswith("engine"):
            endpoint.event_seconds = SLOW_EVENT_SECONDS


def become_silent(fleet):
    """Let the engines stop within the next event, their connections open."""
    for endpoint_id, endpoint in fleet.endpoints.items():
        if endpoint_id.startswith("engine"):
            endpoint.behaviour = "silent"


def check_late_streams(fleet, gateway, disturb=become_slow):
    """Send streams late in a stop, disturb their engines; no stream may be cut."""
    serve(fleet, gateway, EARLIER)
    signalled_at = stop_and_wait(fleet, gateway, SENT_SECONDS)
    callers = [send_stream(fleet, gateway, EVENTS) for _ in range(4)]
    time.sleep(SLOW_SECONDS - SENT_SECONDS)
    disturb(fleet)
    check_whole_or_refused(fleet, callers)
    check_ended(gateway, signalled_at)


def test_a_late_stream_through_a_peer_is_not_cut(tmp_path):
    """Guards against streams through a peer that are cut with their gateway."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        make_unreached(fleet, gateway, "refuse")
        check_late_streams(fleet, gateway)


def test_a_late_stream_at_an_engine_that_falls_silent_is_not_cut(tmp_path):
    """Guards against late streams that are cut since their engine ends no event."""
    with quick_fleet(tmp_path) as fleet:
        check_late_streams(fleet, fleet.gateways[0], become_silent)


@pytest.mark.parametrize("stopping", [1, 2])
def test_a_stream_that_waited_for_a_permit_is_not_cut(tmp_path, stopping):
    """Guards against streams sent late, after their permit, and cut at the close."""
    with quick_fleet(tmp_path) as fleet:
        gateways = fleet.gateways[:stopping]
        for gateway in gateways:
            serve(fleet, gateway, EARLIER)
        for endpoint_id in ("engine-1", "engine-2"):
            fleet.endpoints[endpoint_id].rate_limit = 3.0
        serve(fleet, gateways[0], [10] * 4)
        with ThreadPoolExecutor(stopping) as pool:
            stops = list(
                pool.map(
                    lambda each: stop_and_wait(fleet, each, SENT_SECONDS), gateways
                )
            )
        callers = [
            send_stream(fleet, gateway, EVENTS)
            for gateway in gateways * 6
            for _ in "ab"
        ]
        time.sleep(SLOW_SECONDS - SENT_SECONDS)
        become_slow(fleet)
        for caller in callers:
            answer = caller.answer()
            assert answer.whole, f"{caller.request_id} was cut"
            if answer.status == 503:
                assert not fleet.runs(caller.request_id)
        for gateway, signalled_at in zip(gateways, stops, strict=True):
            check_ended(gateway, signalled_at)


async def answer_in_parts(seconds, http, seen, writer):
    """Send an answer that is longer than a gateway keeps, in so many seconds."""
    request_id = seen.headers["cranberrywick-request-id"]
    writer.write(
        f"HTTP/1.1 200 OK\r\nCranberrywick-Request-Id: {request_id}\r\n"
        "Cranberrywick-Response-Seal: seal.desk-1\r\n"
        f"Content-Length: {LONG_PARTS * PART_BYTES}\r\n\r\n".encode()
    )
    for _ in range(LONG_PARTS):
        writer.write(b"." * PART_BYTES)
        await writer.drain()
        await asyncio.sleep(seconds / LONG_PARTS)


def send_long_calls(fleet, seconds):
    """Send calls late in a stop whose answers take so long; return these."""
    gateway, _ = fleet.gateways
    for _ in range(20):
        assert fleet.send(gateway, "POST", "/books/1").answer().status == 200
    signalled_at = stop_and_wait(fleet, gateway, CALLED_SECONDS)
    fleet.endpoints["desk-1"]._run = partial(answer_in_parts, seconds)
    callers = [fleet.send(gateway, "POST", "/books/1") for _ in range(2)]
    answers = [caller.answer() for caller in callers]
    check_ended(gateway, signalled_at)
    return answers


def test_a_long_answer_that_comes_slowly_is_not_cut(tmp_path):
    """Guards against calls whose head is passed on before their answer is whole."""
    with quick_fleet(tmp_path) as fleet:
        answers = send_long_calls(fleet, SLOW_ANSWER_SECONDS)
        assert [answer.whole for answer in answers] == [True, True]


def test_a_long_answer_that_comes_quickly_is_passed_on(tmp_path):
    """Guards against errors in place of long answers that are whole in time."""
    with quick_fleet(tmp_path) as fleet:
        answers = send_long_calls(fleet, QUICK_ANSWER_SECONDS)
        assert [(each.status, each.whole) for each in answers] == [(200, True)] * 2
