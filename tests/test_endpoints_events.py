"""Validation of a stream's events, also for arbitrary bytes.

Guards against another request's events in an answer, and against a crash by malformed
ones.
"""

import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cranberrywick.endpoints.events import EventCheck
from cranberrywick.errors import AnswerLost


def event(number, request_id="r1", **fields):
    chunk = {"id": f"{request_id}.1", **fields}
    return f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()


STREAM = (
    b": a comment\n\n"
    + event(0, choices=[{"delta": {"content": 'say "r2.1"'}}], usage=None)
    + event(1, choices=[{"delta": {"content": '"usage": 5 \n\n data: [DONE]'}}])
    + event(2, choices=[], usage={"completion_tokens": 2})
    + b"data: [DONE]\n\n"
)
FORWARDED = STREAM.removeprefix(b": a comment\n\n")


@given(st.lists(st.integers(0, len(STREAM)), max_size=6))
def test_answer_does_not_depend_on_read_sizes(cuts):
    check = EventCheck("r1", 1)
    edges = [0, *sorted(cuts), len(STREAM)]
    parts = [STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert b"".join(check.feed(part) for part in parts) == FORWARDED
    check.finish()
    assert check.output_tokens == 2


@given(st.lists(st.binary(max_size=40), max_size=5), st.binary(max_size=60))
@example([], b'id: 0\ndata: {"id": "r1.1", "usage": []}\n\n')
@example([], b'id: 0\ndata: ["r1.1", "usage": 1]\n\n')
@example([], b"id: " + b"9" * 5000 + b"\n\n")
def test_arbitrary_bytes_raise_a_typed_error(parts, last):
    check = EventCheck("r1", 1)
    with pytest.raises(AnswerLost):
        for part in [*parts, last]:
            check.feed(part)
        check.finish()


def test_generated_text_cannot_imitate_the_answers_id():
    """Text that a model generated for another request quotes this answer's id."""
    check = EventCheck("r1", 1)
    crossed = event(0, "r2", choices=[{"delta": {"content": '"r1.1"'}}])
    with pytest.raises(AnswerLost):
        check.feed(crossed)


def test_valid_events_before_an_invalid_one_are_returned():
    """One read contains event 0 and then an event of another request.

    Event 0 counts as received and a resume starts after it, so it must be returned
    before the failure is raised.
    """
    check = EventCheck("r1", 1)
    assert check.feed(event(0) + event(1, "r2")) == event(0)
    assert check.last_event == 0
    with pytest.raises(AnswerLost):
        check.raise_pending()
