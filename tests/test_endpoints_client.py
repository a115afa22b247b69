"""Sending to one endpoint: whether a call ran, and that answers are not mixed up.

Guards against a call that is reported as not run although it may have run, and against
another caller's answer.
"""

import json
import socket

import pytest

from cranberrywick.endpoints.client import Call, send
from cranberrywick.errors import AnswerLost, EndpointRefused
from cranberrywick.model import EndpointRefusal, Executed
from cranberrywick.standin import engine, service


@pytest.fixture
def fast_engine():
    running = engine.start(engine.EngineSettings(decode_tokens_per_second=1000))
    yield running
    running.stop()


@pytest.fixture
def booking_service():
    running = service.start()
    yield running
    running.stop()


def completion(request_id="r1", *, stream=True, tokens=6, **fields):
    message = {"role": "user", "content": "Summarise the grant call."}
    body = {"model": "small", "stream": stream, "max_tokens": tokens}
    call = Call(
        request_id=request_id,
        attempt=1,
        method="POST",
        path="/v1/chat/completions",
        body=json.dumps({**body, "messages": [message]}).encode(),
        headers={"Content-Type": "application/json"},
        remaining_seconds=20.0,
        idempotent=True,
        stream=stream,
    )
    return call._replace(**fields)


def booking(**fields):
    return completion("b1", stream=False)._replace(
        path="/slots", body=b"{}", idempotent=False, **fields
    )


def read(answer):
    try:
        return b"".join(answer.chunks())
    finally:
        answer.close()


def event_numbers(body):
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def test_stream_is_complete(fast_engine):
    answer = send(fast_engine.address, completion())
    body = read(answer)
    assert event_numbers(body) == list(range(7))
    assert body.endswith(b"data: [DONE]\n\n")
    assert answer.output_tokens == 6


def test_plain_answer_is_complete(fast_engine):
    answer = send(fast_engine.address, completion(stream=False))
    assert json.loads(read(answer))["id"] == "r1.1"
    assert answer.output_tokens == 6


def test_refused_connection_did_not_run():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        with pytest.raises(EndpointRefused) as refused:
            send(address, booking())
    assert refused.value.reason is EndpointRefusal.UNREACHABLE
    assert refused.value.executed is Executed.NO


@pytest.mark.parametrize("reason", ["cold", "leaving", "full"])
def test_typed_refusal_did_not_run(fast_engine, reason):
    fast_engine.standin.faults.set("refuse", count=1, reason=reason)
    with pytest.raises(EndpointRefused) as refused:
        send(fast_engine.address, completion())
    assert refused.value.reason == reason
    assert refused.value.retry_after == 1.0


def test_answer_of_another_request_is_not_forwarded(booking_service):
    """An endpoint mixes up two answers and returns another caller's booking.

    The caller must not receive it. Its own booking ran, but the answer does not show
    that, so the error must state that it is unknown whether the booking ran.
    """
    booking_service.standin.faults.set("cross", count=1, request_id="b2")
    with pytest.raises(AnswerLost) as lost:
        send(booking_service.address, booking())
    assert lost.value.executed is Executed.UNKNOWN
