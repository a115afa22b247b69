"""Real gateways before endpoints whose answers never end, beside sound ones.

Guards against a process that exceeds its VM's memory, and is killed with all its
requests, since it keeps an answer that has no end.
"""

import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import NamedTuple

import h11
import pytest
from cut_fleet import running_cut_fleet
from cut_scenes import make_unreached
from endless_endpoints import FORMS, EndlessEndpoint
from gateway_fleet import (
    PROMPT_HEADERS,
    configuration,
    request_bytes,
    running_gateways,
    wait_for,
)

# How much one process may grow whatever endpoints send, in bytes.
MAX_GROWTH_BYTES = 60_000_000
CALLERS, REQUESTS = 10, 120
# Two of five endpoints of each service never end their answers.
SOUND, ENDLESS = 3, 2
MIN_SERVED = 0.95
# The longest answer beside endless ones, compared with that beside sound ones only.
MAX_SLOWER = 2.0
# What other processes of a busy machine, and the endpoints' own threads, may add to it,
# in seconds.
BUSY_SECONDS = 0.5
# By then gateways have read of new endpoints, in seconds.
KNOWN_SECONDS = 1.0
DEADLINE_SECONDS = 5.0
READ_BYTES = 1 << 18
# A sound answer, and the comments that may precede it, in bytes.
MAX_SOUND_BYTES = 100_000
# Answers that are long, and how slowly they are read: in bytes, and seconds a read.
LONG_BYTES, LONG_CALLERS, PAUSE_SECONDS = 6_000_000, 30, 0.01


class Outcome(NamedTuple):
    """What a caller got; ``met`` says whether its request met an endless endpoint."""

    status: int
    received: int
    whole: bool
    seconds: float
    prefix: str
    met: bool


def memory_bytes(pid):
    """Return the largest memory that a process has had."""
    with open(f"/proc/{pid}/status") as status:
        (line,) = [each for each in status if each.startswith("VmHWM")]
    return int(line.split()[1]) * 1024


def read_whole(connection, pause=0.0, read_bytes=READ_BYTES, most=float("inf")):
    """Read an answer; return its status, its length and whether it is whole.

    A caller gives up after about ``most`` bytes.
    """
    http = h11.Connection(h11.CLIENT)
    # The request itself was sent by other means.
    http.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    http.send(h11.EndOfMessage())
    status = received = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            time.sleep(pause)
            http.receive_data(connection.recv(read_bytes))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            received += len(event.data)
            if received > most:
                return status, received, False
        elif isinstance(event, h11.EndOfMessage):
            return status, received, True
        elif isinstance(event, h11.ConnectionClosed):
            return status, received, False


def send(fleet, number, prefix, endless=(), most=float("inf")):
    """Send a request and return its outcome."""
    gateway = fleet.gateways[number % len(fleet.gateways)]
    fields = PROMPT_HEADERS if prefix == "prompts" else {}
    method = "GET" if prefix == "reads" else "POST"
    request_id = fleet.new_id()
    began = time.monotonic()
    with fleet.connect(gateway) as connection:
        connection.sendall(
            request_bytes(method, f"/{prefix}/1", b"", fields, request_id)
        )
        try:
            status, received, whole = read_whole(connection, most=most)
        except (h11.RemoteProtocolError, ConnectionError):
            status, received, whole = 0, 0, False  # It ended within the answer.
    seconds = time.monotonic() - began
    met = any(endpoint.runs[request_id] for endpoint in endless)
    return Outcome(status, received, whole, seconds, prefix, met)


def send_all(fleet, endless=(), most=float("inf")):
    """Send requests of each kind by callers beside one another."""

    def send_one(number):
        prefix = ("reads", "prompts", "books")[number % 3]
        return send(fleet, number, prefix, endless, most)

    with ThreadPoolExecutor(CALLERS) as pool:
        return list(pool.map(send_one, range(REQUESTS)))


@contextmanager
def endless_endpoints(fleet, form, cut=None):
    """Add endpoints of a form to both services; ``cut`` is a gateway without links."""
    endless = [EndlessEndpoint(form) for _ in range(2 * ENDLESS)]
    for number, endpoint in enumerate(endless):
        fleet.endpoints[f"endless-{number}"] = endpoint
        fleet.register(f"endless-{number}", ("desk", "pool")[number % 2])
    if cut is not None:
        fleet.cut(cut, "refuse")
    time.sleep(KNOWN_SECONDS)
    yield endless


def check_beside_endless(fleet, form, cut=None, most=float("inf")):
    """Check all of a fleet's gateways while some endpoints never end their answers."""
    for number in range(3, SOUND + 1):
        fleet.add_endpoint(f"desk-{number}", "desk")
        fleet.add_endpoint(f"engine-{number}", "pool")
    if cut is not None:
        fleet.cut(cut, "refuse")
    time.sleep(KNOWN_SECONDS)
    usual = max(each.seconds for each in send_all(fleet))
    before = [memory_bytes(gateway.process.pid) for gateway in fleet.gateways]
    with endless_endpoints(fleet, form, cut) as endless:
        outcomes = send_all(fleet, endless, most)
    grown = [
        memory_bytes(g.process.pid) - b
        for g, b in zip(fleet.gateways, before, strict=True)
    ]
    sound = [each for each in outcomes if not each.met]
    served = [each for each in sound if each.status == 200 and each.whole]
    slowest = max(each.seconds for each in sound)
    met = [each for each in outcomes if each.met]
    report = f"{form}: {grown=} {usual=:.2f} {slowest=:.2f} {met=}"
    assert all(gateway.process.poll() is None for gateway in fleet.gateways)
    assert max(grown) < MAX_GROWTH_BYTES, report
    assert len(served) >= MIN_SERVED * len(sound), report
    assert slowest < max(MAX_SLOWER * usual, BUSY_SECONDS), report
    assert met, report
    # What is no sound answer is an error, or ends visibly before its end.
    whole = [each for each in met if each.status == 200 and each.whole]
    assert all(each.received < MAX_SOUND_BYTES for each in whole), report
    assert max(each.seconds for each in met) < DEADLINE_SECONDS + 1.0, report


@pytest.mark.parametrize("form", sorted(FORMS))
def test_an_answer_without_an_end_costs_neither_memory_nor_others(tmp_path, form):
    """Guards against processes that are killed as they keep an endless answer."""
    with running_gateways(tmp_path) as fleet:
        check_beside_endless(fleet, form)


@pytest.mark.parametrize("form", ["failing_chunked", "one_event", "unframed"])
def test_an_endless_answer_through_a_peer(tmp_path, form):
    """Guards against gateways that keep an endless answer which a peer forwards."""
    with running_cut_fleet(tmp_path, gateways=2) as fleet:
        make_unreached(fleet, fleet.gateways[0])
        # Callers that read all of it would hold up the stand-ins of this process.
        check_beside_endless(fleet, form, cut=fleet.gateways[0], most=2_000_000)
        assert "event=peer_request_ended" in fleet.gateways[1].log


def read_slowly(fleet, pause):
    """Receive a long answer slowly; return what `read_whole` does."""
    headers = {"X-Padding": str(LONG_BYTES), "Cranberrywick-Deadline-Ms": "30000"}
    with fleet.connect(fleet.gateways[0], receive_bytes=65536) as connection:
        data = request_bytes("GET", "/reads/1", b"", headers, fleet.new_id())
        connection.sendall(data)
        return read_whole(connection, pause, read_bytes=65536)


def test_a_long_answer_is_delivered_after_its_deadline(tmp_path):
    """Guards against ready answers that are cut while their callers read them."""
    with running_gateways(tmp_path) as fleet:
        with fleet.connect(fleet.gateways[0], receive_bytes=65536) as connection:
            headers = {
                "X-Padding": str(LONG_BYTES),
                "Cranberrywick-Deadline-Ms": "1000",
            }
            data = request_bytes("GET", "/reads/1", b"", headers, fleet.new_id())
            connection.sendall(data)
            answer = read_whole(connection, pause=0.02, read_bytes=65536)
        assert answer[0] == 200 and answer[1] > LONG_BYTES and answer[2]


@pytest.mark.parametrize("behaviour", ["well", "unframed"])
def test_long_answers_that_are_read_slowly_stay_whole(tmp_path, behaviour):
    """Guards against bounds by which sound answers are cut, or kept without bound."""
    with running_gateways(tmp_path) as fleet:
        routes = configuration()["routes"]
        routes[0]["timeoutMs"] = 30_000
        fleet.configure(configuration(version=2, routes=routes))
        (gateway,) = fleet.gateways
        wait_for(lambda: "version=2" in gateway.log, "the longer time limit")
        for number in (1, 2):
            fleet.endpoints[f"desk-{number}"].behaviour = behaviour
            fleet.register(f"desk-{number}", "desk", slots=LONG_CALLERS)
        time.sleep(KNOWN_SECONDS)
        before = memory_bytes(gateway.process.pid)
        with ThreadPoolExecutor(LONG_CALLERS) as pool:
            pauses = [PAUSE_SECONDS * (number % 3) for number in range(LONG_CALLERS)]
            answers = list(pool.map(lambda pause: read_slowly(fleet, pause), pauses))
        grown = memory_bytes(gateway.process.pid) - before
        assert {status for status, _, _ in answers} == {200}
        assert all(received >= LONG_BYTES for _, received, _ in answers)
        assert all(whole for _, _, whole in answers)
        assert grown < MAX_GROWTH_BYTES, grown
