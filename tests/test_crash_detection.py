"""Which failed attempts show that their endpoint has crashed, without a network."""

import asyncio
from types import SimpleNamespace

import pytest

from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    EndpointFailed,
    EndpointRefused,
)
from cranberrywick.gateway.crash_detection import (
    ATTEMPT_WAIT_SECONDS,
    BEGINNING_BATCHES,
    CrashDetection,
    refuses_connections,
)
from cranberrywick.logs import EventLog
from cranberrywick.model import EndpointRefusal
from cranberrywick.routing.crash_statement import LostRequest
from cranberrywick.routing.request_traits import RequestTraits
from cranberrywick.standin.platform.endpoint import EndpointStandIn

TRAITS = RequestTraits(("first", "bad", "own"), b"POST", "host", b"/", b"")
SENT_SECONDS = 0.25


class Scene:
    """A daemon that has sent requests to one endpoint."""

    def __init__(self, is_gone=True, draining=False, announced_at=None, born=1):
        self.looks = 0
        self.look_seconds = 0.001
        self.recorded = []
        self.cleared = []
        self._is_gone = is_gone
        record = SimpleNamespace(address="10.0.0.1:80", draining=draining, born=born)
        tracked = SimpleNamespace(endpoint_id="e1", record=record)
        crashes = SimpleNamespace(
            crashed=self.recorded.append,
            answered=lambda traits, is_whole: self.cleared.append((traits, is_whole)),
            is_trial=lambda request_key: False,
            has_crashed=lambda endpoint_id, born: bool(self.recorded),
        )
        notices = SimpleNamespace(announced_at=lambda endpoint_id, born: announced_at)
        state = SimpleNamespace(
            peer_updates=SimpleNamespace(crashes=crashes, drain_notices=notices),
            registry=SimpleNamespace(tracked_by_id={"e1": tracked}),
        )
        metrics = SimpleNamespace(endpoint_crashed=lambda: None)
        self.detection = CrashDetection(state, metrics, EventLog(), self._look)

    async def _look(self, address):
        self.looks += 1
        await asyncio.sleep(self.look_seconds)
        return self._is_gone

    async def lose(
        self, error, batches=0, traits=TRAITS, request_id="r", lost_starts=(("e1", 1),)
    ):
        exchange = self.exchange(batches, traits, request_id, lost_starts=lost_starts)
        await self.detection.check(exchange, error)

    def exchange(
        self,
        batches,
        traits=TRAITS,
        request_id="r",
        last_event_id=None,
        lost_starts=(),
        **fields,
    ):
        return SimpleNamespace(
            endpoint_id="e1",
            endpoint_born=1,
            meta=SimpleNamespace(request_id=request_id, last_event_id=last_event_id),
            key=request_id,
            lost_starts=lost_starts,
            traits=traits,
            sent_for=lambda now: SENT_SECONDS,
            event_batches=batches,
            **fields,
        )


def crashes_after(error, batches=0, traits=TRAITS, **scene):
    """Return the crashes that one failed attempt shows."""

    async def run():
        built = Scene(**scene)
        await built.lose(error, batches, traits)
        await asyncio.sleep(0.1)
        return built.recorded

    return asyncio.run(run())


def cleared_by(batches, status, is_framed):
    """Return what an answer clears at its end, whose endpoint crashes with it."""

    async def run():
        scene = Scene()
        scene.detection.record_end(
            scene.exchange(batches, status=status, answer_is_framed=is_framed)
        )
        await asyncio.sleep(0.1)
        return scene.cleared

    return asyncio.run(run())


@pytest.mark.parametrize("error", [AnswerLost("cut"), AmbiguousSend("closed")])
def test_an_answer_that_broke_off_at_an_endpoint_that_is_gone_shows_a_crash(error):
    """Guards against crashes that nobody relates to what was answered."""
    (crash,) = crashes_after(error)
    assert crash.lost == (LostRequest(TRAITS.all, SENT_SECONDS),)
    assert (crash.endpoint_id, crash.born) == ("e1", 1)


def test_an_answer_that_broke_off_shows_no_crash_while_its_endpoint_accepts():
    """Guards against prompts refused since an endpoint breaks answers off."""
    assert not crashes_after(AnswerLost("cut"), is_gone=False)


def test_an_endpoint_that_has_started_again_has_crashed():
    """Guards against a crash that is missed since the endpoint was back at once."""
    assert crashes_after(AnswerLost("cut"), is_gone=False, born=2)


def test_an_endpoint_that_was_about_to_stop_shows_no_crash():
    """Guards against prompts refused since endpoints are replaced."""
    assert not crashes_after(AnswerLost("cut"), draining=True)
    assert not crashes_after(AnswerLost("cut"), announced_at=1.0)


def test_a_prompt_that_was_answered_for_long_is_suspected_by_its_content_only():
    """Guards against victims whose segments are taken for the cause."""
    (early,) = crashes_after(AnswerLost("cut"), batches=BEGINNING_BATCHES - 1)
    assert early.lost[0].traits == TRAITS.all
    (late,) = crashes_after(AnswerLost("cut"), batches=BEGINNING_BATCHES)
    assert late.lost[0].traits == (TRAITS.content,)


def test_a_call_without_segments_is_suspected():
    """Guards against plain calls under which endpoints crash unseen."""
    call = RequestTraits((), b"GET", "host", b"/reads/1", b"")
    (crash,) = crashes_after(AmbiguousSend("closed"), traits=call)
    assert crash.lost == (LostRequest(call.all, SENT_SECONDS),)


def test_an_answer_without_a_stated_end_is_judged_by_its_endpoint():
    """Guards against a crash that ends an answer and is taken for its end."""

    async def run(is_gone):
        scene = Scene(is_gone=is_gone)
        fields = {"status": 200, "answer_is_framed": False}
        scene.detection.record_end(scene.exchange(2, **fields))
        await asyncio.sleep(0.1)
        return [each.lost[0].traits for each in scene.recorded], scene.cleared

    assert asyncio.run(run(True)) == ([TRAITS.all], [])
    assert asyncio.run(run(False)) == ([], [(TRAITS, True)])


def test_requests_alike_that_are_lost_together_are_counted():
    """Guards against a request of many callers that is taken for that of one."""

    async def run():
        scene = Scene()
        losses = [scene.lose(AnswerLost("cut"), request_id=str(n)) for n in range(3)]
        await asyncio.gather(*losses)
        return scene.recorded

    (crash,) = asyncio.run(run())
    assert crash.lost == (LostRequest(TRAITS.all, SENT_SECONDS, alike=3),)


def test_a_request_that_was_lost_before_waits_for_the_result():
    """Guards against a fourth endpoint while the third one's end is looked into."""

    async def run():
        scene = Scene()
        scene.look_seconds = 2 * ATTEMPT_WAIT_SECONDS
        await scene.lose(AnswerLost("cut"), lost_starts=(("e0", 1), ("e1", 1)))
        return scene.recorded

    assert run_in_virtual_time(run())


@pytest.mark.parametrize(
    ("batches", "status", "is_framed", "shows"),
    [(1, 200, True, True), (1, 200, False, False), (1, 400, True, False)],
)
def test_only_a_whole_answer_clears_a_prompt(batches, status, is_framed, shows):
    """Guards against a crash that ends an answer and is taken for its end."""
    assert bool(cleared_by(batches, status, is_framed)) == shows


@pytest.mark.parametrize(
    "fields", [{"lost_starts": (("e0", 1),)}, {"last_event_id": "6"}]
)
def test_the_rest_of_an_answer_does_not_clear_its_request(fields):
    """Guards against ends that go on since the rest of the answer follows each."""

    async def run():
        scene = Scene()
        fields.update(status=200, answer_is_framed=True)
        scene.detection.record_end(scene.exchange(8, **fields))
        return scene.cleared

    assert asyncio.run(run()) == [(TRAITS, False)]


def test_an_answer_that_has_begun_well_clears_its_prompt_once():
    """Guards against sound prompts suspected until a long answer has ended."""

    async def run():
        scene = Scene()
        for batches in range(1, 3 * BEGINNING_BATCHES):
            scene.detection.record_events(scene.exchange(batches))
        return scene.cleared

    assert asyncio.run(run()) == [(TRAITS, False)]


def test_other_failures_show_no_crash():
    """Guards against prompts refused for what endpoints answered or refused."""
    refused = EndpointRefused("full", reason=EndpointRefusal.FULL)
    assert not crashes_after(refused)
    assert not crashes_after(EndpointFailed("status 500", None))


def test_requests_lost_together_are_one_crash_after_one_look():
    """Guards against a connection for each request that a crash has ended."""

    async def run():
        scene = Scene()
        losses = [scene.lose(AnswerLost("cut"), request_id=str(n)) for n in range(8)]
        await asyncio.gather(*losses)
        return scene

    scene = asyncio.run(run())
    assert scene.looks == 1
    assert len(scene.recorded) == 1


def test_the_next_attempt_does_not_wait_for_a_vm_that_does_not_answer():
    """Guards against short prompts that are late after each link that is lost."""

    async def run():
        loop = asyncio.get_running_loop()
        scene = Scene()
        scene.look_seconds = 5.0
        started = loop.time()
        await scene.lose(AnswerLost("cut"))
        waited = loop.time() - started
        await asyncio.sleep(3 * scene.look_seconds)
        return waited

    assert run_in_virtual_time(run()) <= ATTEMPT_WAIT_SECONDS


def test_a_port_without_a_listener_refuses_connections():
    """Guards against crashes that the look at the endpoint does not see."""

    async def run():
        endpoint = EndpointStandIn("e1")
        address = await endpoint.start()
        before = await refuses_connections(address)
        endpoint.crash()
        await asyncio.sleep(0.01)
        return before, await refuses_connections(address)

    assert asyncio.run(run()) == (False, True)
