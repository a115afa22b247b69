"""Answers whose framing is written in other ways than usual, whole and cut.

Guards against a 200 whose body is a part of the answer, or its chunks as they came, and
against sound answers that count as cut.
"""

import json

import pytest
from test_cut_heads import REQUEST_ID, call_of, head_of, service

from cranberrywick.cli.answers import read_body
from cranberrywick.cli.operator_client import (
    ExitCode,
    OperatorClient,
    OperatorRequestFailed,
)
from cranberrywick.endpoints.client import send
from cranberrywick.endpoints.relay import Relay
from cranberrywick.errors import AmbiguousSend, AnswerLost
from cranberrywick.external.bounded_http import BoundedPool

__all__ = ["service"]

CHUNKS = b"5\r\nwhole\r\n0\r\n\r\n"
CHUNKED = ("chunked", "Chunked", "chunked ", "identity, chunked")
UNREAD = ("xchunked", "gzip, chunked", "chunked, chunked", "chunked;q=1")


def read(service, answer):
    """Return the body that `serve` reads of an answer."""
    service.answer = answer
    received = send(service.address, call_of())
    try:
        return b"".join(received.chunks())
    finally:
        received.close_connection()


@pytest.mark.parametrize("coding", [*CHUNKED, *UNREAD])
@pytest.mark.parametrize("more", [(), ("Content-Length: 9",)])
def test_chunks_are_decoded_or_refused(service, coding, more):
    """Guards against chunks that are forwarded as a body, and cut without notice."""
    whole = head_of("200 OK", f"Transfer-Encoding: {coding}", *more) + CHUNKS
    for size in range(len(whole)):
        with pytest.raises((AnswerLost, AmbiguousSend)):
            pytest.fail(f"whole: {read(service, whole[:size])!r}")
    if coding in CHUNKED:
        assert read(service, whole) == b"whole"
    else:
        with pytest.raises((AnswerLost, AmbiguousSend)):
            read(service, whole)


@pytest.mark.parametrize("length", ["5 ", "5, 5", "\r\n 5", "5\r\nContent-Length: 5"])
def test_a_length_is_read_however_it_is_written(service, length):
    """Guards against sound answers that are refused for how their length is written."""
    whole = head_of("200 OK", f"Content-Length: {length}") + b"whole"
    for size in range(len(whole)):
        with pytest.raises((AnswerLost, AmbiguousSend)):
            pytest.fail(f"whole: {read(service, whole[:size])!r}")
    assert read(service, whole) == b"whole"


@pytest.mark.parametrize("length", ["+5", "-5", "5_0", "5, 6", "", "5;a", "0x5"])
def test_a_length_that_is_none_marks_no_end(service, length):
    """Guards against a body that counts as whole by a length that can't be read."""
    with pytest.raises((AnswerLost, AmbiguousSend)):
        read(service, head_of("200 OK", f"Content-Length: {length}") + b"whole")


@pytest.mark.parametrize(
    "method, status", [("DELETE", 204), ("GET", 304), ("HEAD", 200)]
)
def test_an_answer_without_a_body_is_whole_for_the_command_line(
    service, method, status
):
    """Guards against calls that count as failed though they were answered."""
    host, _, port = service.address.rpartition(":")
    service.answer = head_of(f"{status} Done")
    pool = BoundedPool(host, int(port), maxsize=1)
    answer = pool.urlopen(method, "/", retries=False, preload_content=False)
    assert read_body(answer) == b""


@pytest.mark.parametrize("coding", CHUNKED)
def test_a_stream_in_chunks_is_relayed(service, coding):
    """Guards against sound streams that are lost for how their header is written."""
    answer_id = f"{REQUEST_ID}.1"
    usage = json.dumps({"id": answer_id, "usage": {"completion_tokens": 1}})
    events = f"id: 0\ndata: {usage}\n\ndata: [DONE]\n\n".encode()
    lines = ("Content-Type: text/event-stream", f"Transfer-Encoding: {coding}")
    service.answer = head_of("200 OK", *lines)
    service.answer += b"%x\r\n%s\r\n0\r\n\r\n" % (len(events), events)
    relay = Relay()
    relay.start()
    written = []
    answer = send(service.address, call_of(stream=True))
    try:
        relay.pump(answer, written.append, lambda: False)
    finally:
        answer.close_connection()
        relay.stop()
    assert b"".join(written) == events


def test_a_change_whose_answer_is_cut_may_have_been_accepted(service):
    """Guards against a cut answer by which no daemon seems to have had the change."""
    head, body = b"HTTP/1.1 200 OK\r\n\r\n", b'{"version": 7}'
    client = OperatorClient((f"http://{service.address}",), "key")
    for size in range(len(head + body)):
        service.answer = (head + body)[:size]
        with pytest.raises(OperatorRequestFailed) as failure:
            client.post("/configuration", {"change_id": "c"})
        assert failure.value.exit_code == ExitCode.UNKNOWN, service.answer
    service.answer = head + body[:-1]
    with pytest.raises(OperatorRequestFailed) as failure:
        client.get("/configuration")
    assert failure.value.exit_code == ExitCode.UNAVAILABLE
