"""Answers that have begun go on until the time of their request is over.

Guards against answers that are cut while their caller, and the route, still allow them.
"""

import threading
import time
from contextlib import contextmanager

import pytest
from cut_fleet import running_cut_fleet
from gateway_fleet import (
    PROMPT_HEADERS,
    configuration,
    read_answer,
    request_bytes,
    route,
)
from stopping_fleet import running_stopping_fleet

# The time of a request, by its caller and its route, in seconds.
TIME_SECONDS = 2.0
# How long after that its answer may end, in seconds.
LATE_SECONDS = 0.25
# How long after its head the end of a slow body comes, in seconds.
BODY_SECONDS = 0.6


def limited_configuration(timeout_seconds: float) -> dict:
    """Return a configuration whose routes have a timeout."""
    fields = configuration(2)
    shape = {"timeoutMs": round(1000 * timeout_seconds)}
    stream = {"streamResume": True, "gapAimMs": 250, "stickySessions": True}
    fields["routes"] = [
        route("reads", "safe", "desk", **shape),
        route("prompts", "streaming", "pool", **shape, **stream),
    ]
    return fields


@contextmanager
def limited_gateway(path, timeout_seconds=TIME_SECONDS):
    """Run a gateway whose routes have a timeout; yields its fleet and itself."""
    with running_stopping_fleet(path) as fleet:
        (gateway,) = fleet.gateways
        engine = fleet.endpoints["engine-1"]
        engine.work_seconds, engine.event_seconds = 0.01, 0.05
        fleet.configure(limited_configuration(timeout_seconds))
        time.sleep(0.5)
        yield fleet, gateway


def send_endless(fleet, gateway, deadline_seconds, events=200, body_seconds=0.0):
    """Send a stream of more events than its time allows.

    The end of its body comes ``body_seconds`` after the rest. Returns its id, the
    moment at which all was sent, and for how long it ran.
    """
    headers = {
        **PROMPT_HEADERS,
        "Cranberrywick-Deadline-Ms": str(round(1000 * deadline_seconds)),
        "X-Events": str(events),
    }
    request_id = fleet.new_id()
    data = request_bytes("POST", "/prompts/1", b"body", headers, request_id)
    with fleet.connect(gateway) as connection:
        connection.sendall(data[:-1])
        time.sleep(body_seconds)
        sent_at = time.monotonic()
        connection.sendall(data[-1:])
        received = b""
        while part := connection.recv(65536):
            received += part
        ended_at = time.monotonic()
    assert received.startswith(b"HTTP/1.1 200") and not received.endswith(b"0\r\n\r\n")
    return request_id, sent_at, ended_at - sent_at


def check_time(fleet, gateway, deadline_seconds, at=0.0, body_seconds=0.0):
    """Assert that five streams are not ended before their time, nor long after it."""
    lasted = []

    def send(number):
        time.sleep(at + 0.02 * number)
        sent = send_endless(fleet, gateway, deadline_seconds, body_seconds=body_seconds)
        lasted.append(sent[2])

    threads = [threading.Thread(target=send, args=(each,)) for each in range(5)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(lasted) == 5
    assert min(lasted) >= TIME_SECONDS
    assert max(lasted) < TIME_SECONDS + LATE_SECONDS


@pytest.mark.parametrize(
    "timeout_seconds, deadline_seconds",
    [(TIME_SECONDS, TIME_SECONDS), (TIME_SECONDS, 20.0), (20.0, TIME_SECONDS)],
    ids=["both", "timeout", "deadline"],
)
def test_a_stream_at_a_stop_is_not_cut_before_its_time(
    tmp_path, timeout_seconds, deadline_seconds
):
    """Guards against running streams that a stopping gateway ends before their time."""
    with limited_gateway(tmp_path, timeout_seconds) as (fleet, gateway):
        threading.Timer(0.5, fleet.stop, args=(gateway,)).start()
        check_time(fleet, gateway, deadline_seconds)


def test_a_stream_has_its_time_after_a_body_that_comes_slowly(tmp_path):
    """Guards against streams that are cut earlier by the time of their body."""
    with limited_gateway(tmp_path) as (fleet, gateway):
        threading.Timer(1.5, fleet.stop, args=(gateway,)).start()
        check_time(fleet, gateway, TIME_SECONDS, body_seconds=BODY_SECONDS)


def test_an_error_comes_in_time_though_the_body_came_slowly(tmp_path):
    """Guards against errors that come later by the time of the request's body."""
    with limited_gateway(tmp_path) as (fleet, gateway):
        for endpoint in fleet.endpoints.values():
            endpoint.work_seconds = 30.0
        headers = {"Cranberrywick-Deadline-Ms": str(round(1000 * TIME_SECONDS))}
        data = request_bytes("POST", "/reads/1", b"body", headers, fleet.new_id())
        with fleet.connect(gateway) as connection:
            began_at = time.monotonic()
            connection.sendall(data[:-1])
            time.sleep(BODY_SECONDS)
            connection.sendall(data[-1:])
            answer = read_answer(connection)
        assert answer.status == 504
        assert time.monotonic() - began_at < TIME_SECONDS + LATE_SECONDS


@pytest.mark.parametrize("timeout_seconds", [TIME_SECONDS, 20.0])
def test_a_stream_through_a_peer_is_not_cut_before_its_time(tmp_path, timeout_seconds):
    """Guards against streams that a peer ends before the time of their callers."""
    with running_cut_fleet(tmp_path, gateways=2) as fleet:
        fleet.configure(limited_configuration(timeout_seconds))
        for endpoint in fleet.endpoints.values():
            endpoint.event_seconds = 0.05
        gateway = fleet.gateways[0]
        fleet.cut(gateway, "refuse")
        time.sleep(0.5)
        check_time(fleet, gateway, TIME_SECONDS)
        assert "event=request_forwarded" in gateway.log


def test_an_endpoint_is_told_of_all_the_time_of_a_request(tmp_path):
    """Guards against endpoints that end their work before its time by our deadline."""
    with limited_gateway(tmp_path) as (fleet, gateway):
        engine = fleet.endpoints["engine-1"]
        request_id, sent_at, _ = send_endless(fleet, gateway, TIME_SECONDS)
        (stated,) = [
            int(headers["cranberrywick-deadline-ms"]) / 1000
            for _, _, headers, _ in engine.heads
            if headers["cranberrywick-request-id"] == request_id
        ]
        (arrived,) = [
            each.at for each in engine.arrivals if each.request_id == request_id
        ]
        assert stated <= TIME_SECONDS
        assert arrived + stated >= sent_at + TIME_SECONDS
