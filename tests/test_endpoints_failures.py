"""Calls to endpoints that run as separate processes and fail.

Guards against a call that is sent again or reported as not run although it may have
run, because its answer was late, cut off, lost or another request's. Also guards
against a truncated stream that passes for a complete answer, a wait for a paused engine
that outlasts the deadline, and an engine that goes on with an answer nobody reads.
"""

import json
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest
import urllib3

from cranberrywick.endpoints.client import Call, send
from cranberrywick.errors import AmbiguousSend, AnswerLost, EndpointRefused, TimedOut
from cranberrywick.model import EndpointRefusal, Executed

WAIT_SECONDS = 20.0


class EndpointProcess:
    """A stand-in endpoint in its own process, with requests that inject faults."""

    def __init__(self, kind, *options):
        command = [sys.executable, "-m", f"cranberrywick.standin.{kind}", *options]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.address = self.process.stdout.readline().split()[1]

    def request_json(self, method, path, /, **body):
        url = f"http://{self.address}{path}"
        return urllib3.request(method, url, json=body or None, retries=False).json()

    def inject_fault(self, kind, **details):
        self.request_json("POST", "/faults", kind=kind, **details)

    def clear_fault(self, kind):
        self.request_json("DELETE", f"/faults?kind={kind}")

    def wait_held(self, kind):
        deadline = time.monotonic() + WAIT_SECONDS
        while not self.request_json("GET", "/faults")["held"].get(kind):
            assert time.monotonic() < deadline, f"nothing was held by {kind}"
            time.sleep(0.01)

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


@contextmanager
def running(kind, *options):
    endpoint = EndpointProcess(kind, *options)
    try:
        yield endpoint
    finally:
        endpoint.stop()


@pytest.fixture
def booking_service():
    with running("service") as endpoint:
        yield endpoint


@pytest.fixture
def model_engine():
    with running("engine", "--decode-rate", "200") as endpoint:
        yield endpoint


def booking(request_id, seconds=WAIT_SECONDS):
    return Call(
        request_id=request_id,
        attempt=1,
        method="POST",
        path="/slots",
        body=b"{}",
        headers={"Idempotency-Key": request_id},
        remaining_seconds=seconds,
        idempotent=False,
        stream=False,
    )


def completion(request_id, tokens, seconds=WAIT_SECONDS):
    message = {"role": "user", "content": "Compare two rulebooks."}
    body = {"stream": True, "max_tokens": tokens, "messages": [message]}
    return booking(request_id, seconds)._replace(
        path="/v1/chat/completions",
        body=json.dumps(body).encode(),
        idempotent=True,
        stream=True,
    )


def read(answer):
    try:
        return b"".join(answer.chunks())
    finally:
        answer.close()


def test_late_answer_is_not_received_by_another_call(booking_service):
    """The answer to a first booking is held back until the booking has timed out.

    Its caller is told that the outcome is unknown. A second booking is sent before
    the late answer is released, and must receive its own answer, not the late one.
    """
    booking_service.inject_fault("hold_next_answer", count=1, path="/slots")
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(send, booking_service.address, booking("first", 1.0))
        booking_service.wait_held("hold_next_answer")
        with pytest.raises(TimedOut) as late:
            first.result()
    assert late.value.executed is Executed.UNKNOWN
    answer = send(booking_service.address, booking("second"))
    booking_service.clear_fault("hold_next_answer")
    assert json.loads(read(answer))["key"] == "second"


def test_answer_of_another_request_is_refused(booking_service):
    """The service answers with the ids of another request.

    The caller must be told that its answer is lost and that it is unknown whether the
    booking ran. It must not receive the body.
    """
    booking_service.inject_fault("cross", count=1, request_id="other")
    with pytest.raises(AnswerLost) as crossed:
        send(booking_service.address, booking("mine"))
    assert crossed.value.executed is Executed.UNKNOWN


def test_truncated_answer_is_unknown_and_not_repeated(booking_service):
    """The booking runs; its answer breaks off in the middle of the body.

    The caller must be told that the outcome is unknown, and the call must not be sent
    again: that could book a second slot.
    """
    booking_service.inject_fault("cut", count=1, path="/slots")
    answer = send(booking_service.address, booking("b1"))
    with pytest.raises(AmbiguousSend) as broken:
        read(answer)
    assert broken.value.executed is Executed.UNKNOWN
    assert booking_service.request_json("GET", "/bookings")["by_key"] == {"b1": 1}


@pytest.mark.parametrize(
    ("fault", "runs"), [("drop_next_answer", 1), ("lose_next_request", 0)]
)
def test_answer_without_the_calls_ids_is_unknown(booking_service, fault, runs):
    """The answer lacks the ids; the booking ran in one case and not in the other.

    The client can't distinguish the two, so for both the outcome must be unknown and
    the call must not be sent again.
    """
    booking_service.inject_fault(fault, count=1, path="/slots")
    with pytest.raises(AnswerLost) as lost:
        send(booking_service.address, booking("b1"))
    assert lost.value.executed is Executed.UNKNOWN
    by_key = booking_service.request_json("GET", "/bookings")["by_key"]
    assert by_key.get("b1", 0) == runs


def test_untyped_503_does_not_count_as_not_run(booking_service):
    """The endpoint answers 503 with an error type that is not a refusal.

    Such an answer may come from a server behind the endpoint after the booking ran,
    so the outcome must be unknown.
    """
    booking_service.inject_fault("refuse", count=1, reason="upstream_gave_up")
    with pytest.raises(AmbiguousSend) as answered:
        send(booking_service.address, booking("b1"))
    assert answered.value.executed is Executed.UNKNOWN


def test_service_killed_before_it_answers(booking_service):
    """The service's process dies on receiving a booking, before it answers.

    The caller must be told without delay that the outcome is unknown. A new call
    afterwards gets no connection and must be refused as not run.
    """
    booking_service.inject_fault("die", count=1, path="/slots")
    with pytest.raises(AmbiguousSend):
        send(booking_service.address, booking("b1"))
    booking_service.process.wait()
    with pytest.raises(EndpointRefused) as refused:
        send(booking_service.address, booking("b2"))
    assert refused.value.reason is EndpointRefusal.UNREACHABLE


def test_engine_killed_during_a_stream(model_engine):
    """SIGKILL ends the engine in the middle of a stream, which can't be resumed.

    The caller has received the first event and must be told that the answer is lost.
    """
    answer = send(model_engine.address, completion("r1", 10_000))
    chunks = answer.chunks()
    assert next(chunks).startswith(b"id: 0\n")
    model_engine.process.kill()
    with pytest.raises(AnswerLost):
        for _ in chunks:
            pass
    answer.close()


def test_paused_engine_ends_with_the_deadline(model_engine):
    """SIGSTOP pauses the engine after its first event; its connections stay open.

    No error arrives, so the request's deadline must end the wait.
    """
    answer = send(model_engine.address, completion("r1", 10_000, seconds=1.5))
    chunks = answer.chunks()
    next(chunks)
    model_engine.process.send_signal(signal.SIGSTOP)
    with pytest.raises(TimedOut):
        for _ in chunks:
            pass
    model_engine.process.send_signal(signal.SIGCONT)
    answer.close()


def test_truncated_stream_is_not_a_short_answer(model_engine):
    """The stream and its resumes all close cleanly after event 2, without [DONE].

    The caller must be told that the answer is lost and must not receive an end mark.
    """
    model_engine.inject_fault("cut_stream", after=2)
    answer = send(model_engine.address, completion("r1", 20))
    received = []
    with pytest.raises(AnswerLost):
        received.extend(answer.chunks())
    assert b"[DONE]" not in b"".join(received)
    answer.close()


def test_end_without_token_count_is_incomplete(model_engine):
    """The stream ends with [DONE], but the event with the token usage is missing.

    The caller must be told that the answer is lost.
    """
    model_engine.inject_fault("no_usage")
    with pytest.raises(AnswerLost):
        read(send(model_engine.address, completion("r1", 3)))


def test_abandoned_answer_frees_the_engine(model_engine):
    """An answer is closed before its end; the engine must stop generating it."""
    answer = send(model_engine.address, completion("r1", 10_000))
    answer.close()
    deadline = time.monotonic() + WAIT_SECONDS
    while model_engine.request_json("GET", "/state")["cancelled"] != 1:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    assert model_engine.request_json("GET", "/v1/streams")["streams"] == []
