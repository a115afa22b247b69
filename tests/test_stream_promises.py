"""What a stopping gateway promises in states in which little or wrong things are known.

Guards against streams that are cut, or refused, by what one caller states, by waits
after the decision, and by a decision of a peer that doesn't know of the stop.
"""

import asyncio
import time
from types import SimpleNamespace

import pytest
from gateway_fleet import read_answer, request_bytes
from stopping_fleet import DEADLINE, GRACE_SECONDS
from test_stream_stops import (
    check_whole_or_refused,
    quick_fleet,
    send_stream,
    serve,
    stop_and_wait,
)
from test_waiting import demand, state

from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.errors import Draining
from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.exchange import number_of_id
from cranberrywick.gateway.http_request import HttpRequest
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.peer_requests import PeerExchange
from cranberrywick.logs import EventLog
from cranberrywick.platform.headers import decode_request
from cranberrywick.routing.answer_lengths import AnswerOutline
from cranberrywick.routing.drain_window import DrainWindow
from cranberrywick.routing.fleet_answers import FleetAnswers
from cranberrywick.routing.model import RouteKind
from cranberrywick.routing.placement import Placement

STRIDE = 51
DRAFT = AnswerOutline("drafts", is_stream=True, tokens=400)


def forecast(answers, outline, pace=0.05, stride=STRIDE):
    return answers.forecast(outline, "pool", stride, 0.0, pace, 0.0)


def known(lengths, outline=DRAFT, hint_per_event=0):
    answers = FleetAnswers()
    for events in lengths:
        ended = outline._replace(events=events, hint=events * hint_per_event)
        answers.record_stream(ended, events, STRIDE)
    return answers


@pytest.mark.parametrize("hint", [b"\xb2", b"\xc2\xb2", b"\xb9\xb3"])
def test_a_hint_that_is_no_number_is_ignored(hint):
    """Guards against an exception before a request has an answer."""
    meta = decode_request([(b"cranberrywick-length-hint", hint)])
    assert meta.length_hint is None


@pytest.mark.parametrize(("groups", "running"), [(10, 100), (200, 300)])
def test_a_decision_takes_no_milliseconds(groups, running):
    """Guards against a loop that is blocked by its own decisions while it stops."""
    answers = FleetAnswers()
    for group in range(groups):
        outline = DRAFT._replace(route=f"r{group}")
        for events in range(256):
            ended = outline._replace(events=1 + events % 80)
            answers.record_stream(ended, 1, STRIDE)
    streams = [DRAFT._replace(route=f"r{n % groups}", events=3) for n in range(running)]
    answers.running = lambda: streams
    forecast(answers, DRAFT._replace(route="r0"))
    started = time.perf_counter()
    for tokens in range(300, 320):
        forecast(answers, DRAFT._replace(route="r0", tokens=tokens))
    assert (time.perf_counter() - started) / 20 < 0.001


def stream_demand(built, now, deadline_after=20.0):
    """Return a stream of at most 20 events; the endpoints make one each 50 ms."""
    for _ in range(8):
        built.peer_updates.answers.paces.record("e1", "drafting", 0.05, 1, now)
    answer = DRAFT._replace(tokens=20)
    return demand(0)._replace(answer=answer, deadline=now + deadline_after, prompt=None)


@pytest.mark.parametrize("is_stopping", [False, True])
def test_a_peer_compares_a_forwarded_stream_with_the_end_of_its_sender(is_stopping):
    """Guards against a stream that a busy peer begins and its sender then cuts."""

    async def main():
        built = state()
        now = asyncio.get_running_loop().time()
        request = stream_demand(built, now)
        sender = Drain(built, LazyMetrics("d1"), EventLog())
        sender.begin(DrainWindow(now + 1.75, now + 2.0))
        sender.check_forwarding(SimpleNamespace(demand=lambda domain: request))
        # The statement's remaining time ends with the sender.
        ends_at = sender.ends_at(SimpleNamespace(is_stream=True, is_withheld=False))
        stated = request._replace(deadline=ends_at, cut_at=ends_at)
        peer = Drain(built, LazyMetrics("d2"), EventLog())
        if is_stopping:
            peer.begin(DrainWindow(now + 3.75, now + 4.0))
        with pytest.raises(Draining):
            peer.check_placement(stated, Placement("e1", (), 1.5, ()), now)

    run_in_virtual_time(main())


def test_streams_of_six_seconds_at_a_gateway_that_knows_nothing(tmp_path):
    """Guards against five seconds that a stream of unknown length may take."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        stop_and_wait(fleet, gateway, 1.8)
        callers = [send_stream(fleet, gateway, 130, tokens=4000) for _ in range(4)]
        check_whole_or_refused(fleet, callers)


def test_streams_whose_engine_becomes_slow_after_the_send(tmp_path):
    """Guards against a pace that is relied on to the end."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        serve(fleet, gateway, [40, 30, 20, 10] * 10)
        stop_and_wait(fleet, gateway, 3.0)
        callers = [send_stream(fleet, gateway, 40) for _ in range(4)]
        time.sleep(0.5)
        for endpoint_id in ("engine-1", "engine-2"):
            fleet.endpoints[endpoint_id].event_seconds = 0.15
        check_whole_or_refused(fleet, callers)


@pytest.mark.parametrize("name", ["Length-Hint", "Token-Count"])
def test_a_header_that_is_no_number_gets_an_answer(tmp_path, name):
    """Guards against an exception in place of an answer."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        request = request_bytes("GET", "/reads/1", b"", DEADLINE, fleet.new_id())
        field = f"\r\nCranberrywick-{name}: \xb2\r\n\r\n".encode("latin-1")
        connection = fleet.connect(gateway)
        connection.sendall(request.replace(b"\r\n\r\n", field))
        answer = read_answer(connection)
        assert answer.whole, gateway.log[-600:]


def test_a_half_read_request_with_such_a_hint_leaves_the_others_an_answer(tmp_path):
    """Guards against an end of the daemon that stops at one header."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        connections = []
        for value in ("\xb2", "7", "8"):
            data = request_bytes("POST", "/books/1", b"body", DEADLINE, fleet.new_id())
            field = f"\r\nCranberrywick-Length-Hint: {value}\r\n\r\n"
            data = data.replace(b"\r\n\r\n", field.encode("latin-1"))
            connections.append(fleet.connect(gateway))
            connections[-1].sendall(data[:-1])
        fleet.wait_until_seen(gateway)
        fleet.stop(gateway)
        statuses = []
        for connection in connections:
            try:
                statuses.append(read_answer(connection).status)
            except (OSError, ValueError, IndexError):
                statuses.append(0)
        code = gateway.process.wait(GRACE_SECONDS)
        errors = [e[:700] for e in gateway.log.splitlines() if "level=error" in e]
        assert (code, statuses[1:]) == (0, [503, 503]), errors[-1:]


def test_a_pass_over_waiting_requests_is_short():
    """Guards against streams that stand still while others wait."""

    async def main():
        built = state()
        drain = Drain(built, LazyMetrics("d1"), EventLog())
        now = asyncio.get_running_loop().time()
        drain.begin(DrainWindow(now + 7.0, now + 7.5))
        answers = built.peer_updates.answers
        record = stream_demand(built, now).answer
        for route in range(10):
            for events in range(256):
                ended = record._replace(route=f"r{route}", events=1 + events % 20)
                answers.record_stream(ended, 1 + events % 20, STRIDE)
        running = [record._replace(route=f"r{n % 10}", events=3) for n in range(100)]
        answers.running = lambda: running
        request = stream_demand(built, now)
        started = time.perf_counter()
        for _ in range(200):
            drain.check_wait(request, now)
        return time.perf_counter() - started

    assert run_in_virtual_time(main()) < 0.02


def test_a_last_event_id_that_nobody_sent_stays_in_no_statement():
    """Guards against a number of one caller that all daemons keep."""
    answers = known([20, 30, 82, 5] * 8, DRAFT._replace(tokens=4182))
    other = DRAFT._replace(tokens=4182, route="reviews")
    assert forecast(answers, other).basis == "declared"
    foul = DRAFT._replace(resumed_at=10**8, events=2)
    answers.record_stream(foul, 10**8 + 2, STRIDE)
    for _ in range(1000):
        answers.record_stream(DRAFT._replace(events=5), 5, STRIDE)
    assert forecast(answers, other).basis == "declared"


def test_a_wrong_hint_of_a_caller_cuts_nothing(tmp_path):
    """Guards against a caller's word that outweighs what answers were."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        callers = [
            send_stream(fleet, gateway, n, hint=10 * n) for n in [80, 60, 40, 20] * 6
        ]
        assert all(caller.answer().status == 200 for caller in callers)
        stop_and_wait(fleet, gateway, 4.5)
        late = [send_stream(fleet, gateway, 80, hint=1) for _ in range(4)]
        check_whole_or_refused(fleet, late)


def test_the_rest_of_a_forwarded_stream_is_no_short_answer():
    """Guards against a resumption at a peer that is taken for a whole answer."""
    headers = [(b"cranberrywick-token-count", b"2000,400")]
    request = HttpRequest("POST", b"/prompts/1", headers, headers, b"", 0.0, 0.0)
    caller = SimpleNamespace(answer_started=False)
    exchange = PeerExchange(request, caller, decode_request(headers))
    exchange.route = SimpleNamespace(
        name="drafts", kind=RouteKind.STREAMING, target_seconds=0.3
    )
    # As PeerRequests takes it from the statement of the daemon that has the caller.
    exchange.last_event_id = exchange.resumed_id = "78"
    assert exchange.outline().resumed_at == 78
    answers = known([80] * 250)
    exchange.events, exchange.last_event_id = 2, "80"
    last_id = number_of_id(exchange.last_event_id)
    answers.record_stream(exchange.outline(), last_id, STRIDE)
    assert forecast(answers, DRAFT._replace(resumed_at=78)).events < 10


def test_calls_that_take_longer_than_those_before_are_not_sent_to_be_cut(tmp_path):
    """Guards against a bound of the calls that ended, while longer ones run."""
    with quick_fleet(tmp_path) as fleet:
        gateway, _ = fleet.gateways
        for n in range(20):
            assert fleet.call(gateway, "GET", f"/reads/{n}").status == 200
        stop_and_wait(fleet, gateway, 0.0)
        fleet.endpoints["desk-1"].work_seconds = 4.5
        running = fleet.send(gateway, "GET", "/reads/1")
        time.sleep(3.5)
        late = [fleet.send(gateway, "GET", "/reads/1") for _ in range(4)]
        assert check_whole_or_refused(fleet, [running, *late]) == 1
