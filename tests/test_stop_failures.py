"""A gateway that stops while something in it fails.

Guards against one failure by which all requests of the daemon are dropped.
"""

import asyncio
import time
from types import SimpleNamespace

import pytest
from gateway_fleet import read_answer, request_bytes, start_process, wait_for
from stopping_fleet import DEADLINE, GRACE_SECONDS, StoppingFleet, outcomes
from test_waiting import state

from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.logs import EventLog
from cranberrywick.routing.drain_window import DrainWindow

OCCUPIED_SECONDS = 30.0
GATEWAY = "cranberrywick.gateway."
# What the stop calls, and what may fail beside it.
STEPS = (
    "state:FleetState.leave",
    "state:FleetState.end_start",
    "drain:Drain.end_unanswered",
    "drain:Drain.refuse_unread",
    "ingress:Ingress.drain",
    "ingress:Ingress.stop_listening",
    "caller_connection:CallerConnection.fileno",
    "ticker:Ticker.stop",
    "fleet_link:FleetLink.close",
    "peer_updates:PeerUpdates.send_heartbeat",
)


class FailingFleet(StoppingFleet):
    """Gateways in which the method ``failing`` fails."""

    failing = ""

    def start_process(self, settings, log):
        return start_process(settings, log, "failing_gateway.py", FAILING=self.failing)


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a gateway before one slot, which is taken."""
    fleet = FailingFleet(tmp_path)

    def run(failing):
        fleet.failing = ",".join(GATEWAY + each for each in failing)
        fleet.reconfigure()
        fleet.add_endpoint("desk-1", "desk", work_seconds=OCCUPIED_SECONDS)
        fleet.register("desk-1", "desk", slots=1)
        gateway = fleet.start_gateway("gateway-0")
        fleet.occupy(gateway)
        return fleet, gateway

    yield run
    fleet.close()


@pytest.mark.parametrize("failing", STEPS)
def test_a_step_that_fails_keeps_no_request_from_its_answer(start, failing):
    """Guards against a stop that ends at whatever raises in it."""
    fleet, gateway = start([failing])
    waiting = [fleet.send(gateway, "POST", f"/books/{n}") for n in range(4)]
    data = request_bytes("POST", "/books/9", b"body", DEADLINE, fleet.new_id())
    half_read = fleet.connect(gateway)
    half_read.sendall(data[:-1])
    fleet.wait_until_seen(gateway)
    signalled_at = fleet.stop(gateway)
    if "end_unanswered" not in failing:
        statuses = [caller.answer().status for caller in waiting]
        assert statuses == [503] * 4, gateway.log[-900:]
        assert read_answer(half_read).status == 503
    assert gateway.process.wait(GRACE_SECONDS) == 0
    assert time.monotonic() - signalled_at < GRACE_SECONDS
    assert "event=gateway_stopped" in gateway.log
    assert "fails" in gateway.log


def test_a_request_that_crashes_is_answered(start):
    """Guards against a connection that is closed for a failure of the daemon."""
    fleet, gateway = start(["direct_attempts:DirectAttempts.run"])
    fleet.stop(gateway)
    wait_for(lambda: "event=drain_started" in gateway.log, "the begin of the stop")
    answer = fleet.call(gateway, "GET", "/reads/1")
    assert (answer.status, answer.whole) == (502, True)
    wait_for(lambda: outcomes(gateway), "the request's last line")
    assert "event=request_crashed" in gateway.log
    assert outcomes(gateway) == ["internal_error"]


def test_a_waiting_request_that_fails_leaves_the_others_their_turn(start):
    """Guards against a pass over the waiting requests that ends at one of them."""
    fleet, gateway = start(["drain:Drain.check_turn", "drain:Drain.check_wait"])
    waiting = [fleet.send(gateway, "POST", f"/books/{n}") for n in range(4)]
    fleet.wait_until_seen(gateway)
    fleet.stop(gateway)
    answers = [caller.answer() for caller in waiting]
    assert all(answer.whole for answer in answers)
    assert {answer.status for answer in answers} <= {502, 503}
    wait_for(lambda: gateway.process.poll() is not None, "the end of the gateway")
    assert gateway.process.returncode == 0


WAITING_CALLER = SimpleNamespace(answer_started=False)


class FailingCaller:
    """A caller's connection that fails once it is asked about its answer."""

    @property
    def answer_started(self):
        raise RuntimeError("answer_started fails")


def stopping_drain():
    """Return the stop of a gateway, and what serves a request in it until its end.

    The keys of those whose time was over are appended to the third.
    """
    now = asyncio.get_running_loop().time()
    drain = Drain(state(), LazyMetrics("d1"), EventLog())
    drain.begin(DrainWindow(now + 9.0, now + 9.2))
    ended = []

    async def serve(key, deadline, caller=WAITING_CALLER):
        meta = SimpleNamespace(prompt=None, request_id=key)
        exchange = SimpleNamespace(
            key=key,
            caller=caller,
            deadline=deadline,
            meta=meta,
            service=None,
            is_stream=False,
        )
        try:
            async with drain.deadline(exchange):
                await asyncio.sleep(5.0)
        except TimeoutError:
            ended.append(key)

    return drain, serve, ended


def test_a_request_that_can_not_be_ended_leaves_the_others_their_end():
    """Guards against requests without an answer since one before them failed."""

    async def main():
        loop = asyncio.get_running_loop()
        drain, serve, ended = stopping_drain()
        own = loop.create_task(serve("own", loop.time() + 8.0, FailingCaller()))
        others = loop.create_task(serve("others", loop.time() + 8.0))
        await asyncio.sleep(0.01)
        drain.end_unanswered()
        await asyncio.wait_for(others, 1.0)
        own.cancel()
        assert ended == ["others"]

    asyncio.run(main())


def test_a_deadline_at_the_moment_of_the_last_check_ends_no_other_request():
    """Guards against a stop that ends as a request reaches its deadline."""

    async def main():
        loop = asyncio.get_running_loop()
        drain, serve, ended = stopping_drain()
        at = loop.time() + 0.05
        tasks = [
            loop.create_task(serve("own", at)),
            loop.create_task(serve("others", at + 5)),
        ]
        # Both are due in the same pass, the deadline's timer first.
        loop.call_at(at + 0.0001, drain.end_unanswered)
        await asyncio.sleep(0)
        time.sleep(0.06)
        await asyncio.gather(*tasks)
        assert sorted(ended) == ["others", "own"]
        assert loop.time() - at < 1.0

    asyncio.run(main())
