"""Rate limits that endpoints name in their answers, with gateway processes."""

import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import pytest
import urllib3
from gateway_fleet import Answer, configuration, running_gateways, wait_for

# Requests a second that each endpoint accepts from all daemons together.
RATE = 1.0
# The span over which requests to an endpoint are counted, in seconds.
WINDOW_SECONDS = 4.0
LOADED_SECONDS = 9.0
# Time after which every daemon has received an answer that names the limit, in seconds.
KNOWN_SECONDS = 1.0
CALL_PAUSE_SECONDS = 0.4
# Time after which the end of the limit is known, in seconds: enough for two requests at
# the limited rate.
END_KNOWN_SECONDS = 2.5
AFTERWARDS_SECONDS = 4.0
# Requests a second that a cold endpoint accepts, and the callers' load on it.
COLD_RATE = 2.0
COLD_SECONDS = 4.0
COLD_PAUSE_SECONDS = 0.02
COLD_CALLERS_EACH = 3
# Time after which a new configuration and changed records are known everywhere, in
# seconds.
APPLIED_SECONDS = 2.5
# Longest time until a refusal, in seconds. A caller that can't be served has most of
# its five seconds left then.
LONGEST_REFUSAL_SECONDS = 0.5


def test_logs_and_metrics_show_which_daemon_knows_a_limit(tmp_path):
    """On-call engineers see which daemon knows a limit, and from which answer."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        for endpoint in fleet.endpoints.values():
            endpoint.rate_limit = 2.5
        assert fleet.call(gateway, "GET", "/reads/1", request_id="first").status == 200
        wait_for(lambda: "_limit_changed" in gateway.log, "the line of the limit")
        (line,) = [li for li in gateway.log.splitlines() if "_limit_changed" in li]
        assert " limit=2.5 previous=inf status=200 request_id=first" in line
        host, port = gateway.settings["ip"], gateway.settings["internalPorts"][1]
        metrics = urllib3.request("GET", f"http://{host}:{port}/metrics").data.decode()
        assert 'cranberrywick_limited_answers_total{class="reads"} 1.0' in metrics


def test_daemons_together_keep_the_declared_limit_of_a_cold_endpoint(tmp_path):
    """Guards against too many short calls from several daemons to a cold endpoint.

    The calls end so soon that no daemon counts many of the others' calls.
    """
    with running_gateways(tmp_path, gateways=6) as fleet:
        services = configuration()["services"]
        services[0]["coldPerS"] = COLD_RATE
        for number in (1, 2):
            fleet.register(f"desk-{number}", "desk", coldRemainingMs=60_000)
        fleet.configure(configuration(version=2, services=services))
        time.sleep(APPLIED_SECONDS)
        started = fleet.on_loop(fleet.loop.time)
        until = started + COLD_SECONDS
        # Enough of them that not all can wait for their permit at the same time.
        gateways = fleet.gateways * COLD_CALLERS_EACH
        with ThreadPoolExecutor(len(gateways)) as callers:
            calls = [
                callers.submit(
                    call_repeatedly, fleet, gateway, until, COLD_PAUSE_SECONDS
                )
                for gateway in gateways
            ]
            statuses = {
                timed.answer.status for call in calls for timed in call.result()
            }
        assert statuses == {200, 503}
        for number in (1, 2):
            arrived_at = fleet.endpoints[f"desk-{number}"].arrived_at
            for first in arrived_at:
                second = [at for at in arrived_at if first <= at < first + 1.0]
                assert len(second) <= 1.5 * COLD_RATE + 5
            assert len(arrived_at) >= 0.8 * COLD_RATE * COLD_SECONDS


class Timed(NamedTuple):
    """An answer, the time of the request and the seconds until the answer."""

    answer: Answer
    requested_at: float
    seconds: float


class Load(NamedTuple):
    """The answers and arrivals while every endpoint of a service had a limit.

    The limit was known from ``known_at`` on and ended at ``ended_at``.
    """

    arrived_at_by_id: dict[str, list[float]]
    known_at: float
    ended_at: float
    answers: list[Timed]


@pytest.fixture(scope="module")
def load(tmp_path_factory):
    """Six daemons, fifteen requests a second, and endpoints that accept two."""
    with running_gateways(tmp_path_factory.mktemp("limits"), gateways=6) as fleet:
        desks = [fleet.endpoints["desk-1"], fleet.endpoints["desk-2"]]
        for desk in desks:
            desk.rate_limit = RATE
        started = fleet.on_loop(fleet.loop.time)
        until = started + LOADED_SECONDS
        with ThreadPoolExecutor(len(fleet.gateways)) as callers:
            calls = [
                callers.submit(call_repeatedly, fleet, g, until) for g in fleet.gateways
            ]
            answers = [timed for call in calls for timed in call.result()]
        for desk in desks:
            desk.rate_limit = None
        ended = fleet.on_loop(fleet.loop.time)
        with ThreadPoolExecutor(len(fleet.gateways)) as callers:
            until = ended + AFTERWARDS_SECONDS
            calls = [
                callers.submit(call_repeatedly, fleet, g, until) for g in fleet.gateways
            ]
            answers += [timed for call in calls for timed in call.result()]
        arrived = {desk.endpoint_id: desk.arrived_at for desk in desks}
        yield Load(arrived, started + KNOWN_SECONDS, ended, answers)


def call_repeatedly(fleet, gateway, until, pause=CALL_PAUSE_SECONDS):
    """Call a gateway repeatedly until a moment; return the answers."""
    answers = []
    while (requested_at := fleet.on_loop(fleet.loop.time)) < until:
        answer = fleet.call(gateway, "GET", "/reads/1")
        seconds = fleet.on_loop(fleet.loop.time) - requested_at
        answers.append(Timed(answer, requested_at, seconds))
        time.sleep(pause)
    return answers


def test_daemons_together_keep_the_limit_of_an_endpoint(load):
    """Guards against daemons that each keep a limit but together exceed it."""
    for arrived_at in load.arrived_at_by_id.values():
        limited = [at for at in arrived_at if load.known_at <= at < load.ended_at]
        for first in limited:
            window = [at for at in limited if first <= at < first + WINDOW_SECONDS]
            assert len(window) <= 1.5 * RATE * WINDOW_SECONDS + 5


def test_a_limited_endpoint_is_used_up_to_its_limit(load):
    """Guards against a limit that is kept by hardly using the endpoint."""
    seconds = load.ended_at - load.known_at
    for arrived_at in load.arrived_at_by_id.values():
        limited = [at for at in arrived_at if load.known_at <= at < load.ended_at]
        assert len(limited) >= 0.8 * RATE * seconds


def test_requests_beyond_the_limits_are_refused_at_once(load):
    """Guards against callers that wait in vain for endpoints at their limits."""
    refused = [t for t in load.answers if t.answer.status == 503]
    assert refused
    assert all(float(t.answer.headers["retry-after"]) > 0 for t in refused)
    assert max(t.seconds for t in refused) < LONGEST_REFUSAL_SECONDS


def test_the_end_of_a_limit_is_noticed(load):
    """Guards against endpoints that stay limited after their limit has ended."""
    after = [
        timed.answer.status
        for timed in load.answers
        if timed.requested_at >= load.ended_at + END_KNOWN_SECONDS
    ]
    assert after
    assert set(after) == {200}
