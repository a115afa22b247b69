"""Streams that come while a gateway stops and something else happens as well.

Guards against streams that are lost beside a second fault or change: at a peer, during
a freeze, just after a start, beside slow readers, as all gateways stop in turn.
"""

import time
from signal import SIGCONT, SIGHUP, SIGSTOP, SIGTERM

import pytest
from gateway_fleet import request_bytes, wait_for
from stopping_fleet import LONG_PROMPT
from stream_stops import (
    CROSSING_SECONDS,
    StopScene,
    StreamCallers,
    check_ended,
    check_whole_or_refused,
    play,
    quick_fleet,
    send_stream,
    serve,
    stop_and_wait,
    stream_headers,
    summary,
    unlike_lengths,
    wait_until_known,
)

# Lengths that a gateway has served before, so that it serves such streams also late.
KNOWN = [40, 30, 20, 10] * 12


def is_wrong(stream):
    """Return whether a stream was lost, or came late and was not whole or refused."""
    if stream.is_lost or stream.runs > 0 and stream.is_refused:
        return True
    crossed = stream.sent_at > stream.gone_at - CROSSING_SECONDS and stream.runs == 0
    late = stream.sent_at > 0 and not crossed
    return late and not (stream.is_served or stream.is_refused)


def check_streams(streams):
    """Assert that no stream was lost and print what became of them."""
    print(summary(streams))
    wrong = [
        f"{each}, {each.runs} runs, gateway gone at {each.gone_at:.2f} s"
        for each in streams
        if is_wrong(each)
    ]
    assert not wrong, f"{summary(streams)}: {wrong}"


def check_some_served(streams):
    """Assert that no stream was lost and that some that came late were served."""
    check_streams(streams)
    assert any(each.sent_at > 0 and each.is_served for each in streams)


def short_lengths(rng):
    """Return the headers of a stream like those of `KNOWN`."""
    return stream_headers(rng.randint(1, 40))


def make_unreached(fleet, gateway):
    """Cut a gateway from all endpoints; return when it knows that."""
    fleet.cut(gateway, "refuse")

    def is_cut():
        fleet.call(gateway, "GET", "/reads/1")
        return "reach=none" in gateway.log

    wait_for(is_cut, "the gateway to know that it is cut")


@pytest.mark.parametrize("served_seconds", [0.0, 4.0])
def test_a_gateway_that_serves_through_a_peer_stops(tmp_path, served_seconds):
    """Guards against forwarded streams that are cut at the end of the first gateway."""
    with quick_fleet(tmp_path, gateways=3) as fleet:
        first = fleet.gateways[0]
        make_unreached(fleet, first)
        serve(fleet, first, KNOWN)
        callers = StreamCallers(fleet, short_lengths, 11)
        callers.start(first, 8)
        time.sleep(served_seconds)
        signalled_at = fleet.stop(first)
        check_some_served(callers.streams({first.name: signalled_at}))


def test_a_peer_that_serves_for_another_gateway_stops(tmp_path):
    """Guards against forwarded streams that are cut as the peer that has them ends."""
    with quick_fleet(tmp_path, gateways=3) as fleet:
        first, second, _ = fleet.gateways
        make_unreached(fleet, first)
        serve(fleet, first, KNOWN)
        callers = StreamCallers(fleet, short_lengths, 12)
        callers.start(first, 10)
        time.sleep(3.0)
        check_ended(second, fleet.stop(second))
        signalled_at = fleet.stop(first)
        check_some_served(callers.streams({first.name: signalled_at}))


def test_a_gateway_and_the_peer_that_it_uses_stop_together(tmp_path):
    """Guards against forwarded streams for which only one end's time counts."""
    with quick_fleet(tmp_path, gateways=3) as fleet:
        first, second, third = fleet.gateways
        make_unreached(fleet, first)
        serve(fleet, first, KNOWN)
        callers = StreamCallers(fleet, short_lengths, 13)
        callers.start(first, 8)
        time.sleep(3.0)
        fleet.stop(second)
        time.sleep(2.0)
        signalled_at = fleet.stop(first)
        time.sleep(1.0)
        fleet.stop(third)
        check_some_served(callers.streams({first.name: signalled_at}))


def signal_again(fleet, gateway):
    """Send SIGHUP and SIGTERM to a gateway that stops."""
    for number in (SIGHUP, SIGTERM, SIGHUP):
        time.sleep(0.7)
        fleet.stop(gateway, number)


def freeze(fleet, gateway):
    """Freeze a gateway for two seconds."""
    time.sleep(1.5)
    fleet.stop(gateway, SIGSTOP)
    time.sleep(2.0)
    fleet.stop(gateway, SIGCONT)


def silence_store(fleet, gateway):
    """Let the store answer a gateway no more."""
    fleet.store.modes_by_listener[gateway.name] = "silent"


def evacuate(fleet, gateway):
    """Evacuate the zone of one of the engines."""
    time.sleep(1.0)
    fleet.on_loop(fleet.store.put_json, "op/evacuate/b", {})


def configure_anew(fleet, gateway):
    """Write new versions of the configuration."""
    for _ in range(3):
        time.sleep(1.0)
        fleet.reconfigure()


def leave(fleet, gateway):
    """Let an engine say that it leaves."""
    time.sleep(1.0)
    fleet.endpoints["engine-1"].draining = True


@pytest.mark.parametrize(
    "disturb",
    [signal_again, freeze, silence_store, evacuate, configure_anew, leave],
    ids=lambda each: each.__name__,
)
def test_something_else_happens_beside_the_stop(tmp_path, disturb):
    """Guards against streams lost when the stop and another change meet."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        engine = fleet.add_endpoint("engine-3", "pool", "b", work_seconds=0.02)
        engine.event_seconds = 0.05
        wait_until_known(gateway, "engine-3")
        serve(fleet, gateway, KNOWN)
        callers = StreamCallers(fleet, short_lengths, 21)
        callers.start(gateway, 8)
        time.sleep(3.0)
        signalled_at = fleet.stop(gateway)
        disturb(fleet, gateway)
        check_some_served(callers.streams({gateway.name: signalled_at}))


def test_a_gateway_that_is_frozen_at_the_signal(tmp_path):
    """Guards against a grace period that counts from the end of a freeze."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        serve(fleet, gateway, KNOWN)
        callers = StreamCallers(fleet, short_lengths, 22)
        callers.start(gateway, 8)
        time.sleep(3.0)
        fleet.stop(gateway, SIGSTOP)
        signalled_at = fleet.stop(gateway)
        time.sleep(2.0)
        fleet.stop(gateway, SIGCONT)
        check_some_served(callers.streams({gateway.name: signalled_at}))


def test_a_gateway_is_stopped_just_after_its_start_again_and_again(tmp_path):
    """Guards against streams lost while little is known, and nothing is kept."""
    with quick_fleet(tmp_path, gateways=3) as fleet:
        others = StreamCallers(fleet, unlike_lengths, 31)
        for gateway in fleet.gateways[1:]:
            others.start(gateway, 3)
        for number, seconds in enumerate((0.0, 0.3, 1.5), start=2):
            gateway = fleet.gateways[0]
            callers = StreamCallers(fleet, unlike_lengths, number)
            callers.start(gateway, 6)
            time.sleep(seconds)
            signalled_at = fleet.stop(gateway)
            check_streams(callers.streams({gateway.name: signalled_at}))
            gateway = fleet.gateways[0] = fleet.restart(gateway)
            wait_for(
                lambda n=number, g=gateway: g.log.count("event=gateway_started") == n,
                "the gateway to listen",
            )
        stopped_at = {each.name: fleet.stop(each) for each in fleet.gateways[1:]}
        check_streams(others.streams(stopped_at))


def test_a_slow_reader_beside_quick_ones(tmp_path):
    """Guards against quick callers whose streams wait for one that hardly reads."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        serve(fleet, gateway, KNOWN)
        callers = StreamCallers(fleet, short_lengths, 41)
        callers.start(gateway, 8)
        time.sleep(2.0)
        headers = {**stream_headers(80), "X-Padding": "20000"}
        slow = [fleet.connect(gateway, 4096) for _ in range(2)]
        for connection in slow:
            data = request_bytes("POST", "/prompts/1", b"", headers, fleet.new_id())
            connection.sendall(data)
        time.sleep(0.5)
        signalled_at = fleet.stop(gateway)
        for _ in range(10):
            time.sleep(0.2)
            assert all(connection.recv(1000) for connection in slow)
        check_some_served(callers.streams({gateway.name: signalled_at}))


@pytest.mark.parametrize("seconds", [0.2, 3.0])
def test_a_prompt_of_several_parts_comes_after_the_signal(tmp_path, seconds):
    """Guards against joint prompts that are begun too late and cut."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        serve(fleet, gateway, [40, 20, 10, 5] * 8)
        signalled_at = stop_and_wait(fleet, gateway, seconds)
        joint = {
            **LONG_PROMPT,
            "Cranberrywick-Token-Count": "400000,1000",
            "X-Events": "80",
        }
        callers = [fleet.send(gateway, "POST", "/prompts/1", joint) for _ in range(2)]
        callers += [send_stream(fleet, gateway, 10) for _ in range(4)]
        check_whole_or_refused(fleet, callers)
        check_ended(gateway, signalled_at)
        engines = [fleet.endpoints[each] for each in ("engine-1", "engine-2")]
        assert fleet.on_loop(lambda: sum(each.reserved for each in engines)) == 0


def test_twelve_gateways_are_stopped_one_after_the_other(tmp_path):
    """Guards against streams lost in a fleet that is replaced as a whole."""
    scene = StopScene(12, 12, served_seconds=3.0, callers=2, gap_seconds=0.5)
    check_streams(play(scene, 51, tmp_path))


def test_refused_streams_are_served_elsewhere(tmp_path):
    """Guards against refused callers who return all at once, or in vain."""
    with quick_fleet(tmp_path, gateways=3) as fleet:
        gateway, other, _ = fleet.gateways
        serve(fleet, gateway, [80, 60, 80, 40] * 5)
        signalled_at = stop_and_wait(fleet, gateway, 4.5)
        callers = [send_stream(fleet, gateway, 80) for _ in range(20)]
        assert check_whole_or_refused(fleet, callers) == 0
        pauses = [float(each.answer().headers["retry-after"]) for each in callers]
        assert all(0.1 <= each <= 0.4 for each in pauses)
        assert len(set(pauses)) > 1
        time.sleep(max(pauses))
        again = [send_stream(fleet, other, 80) for _ in callers]
        # These take until after the end of the grace period.
        check_ended(gateway, signalled_at)
        assert check_whole_or_refused(fleet, again) == len(again)
