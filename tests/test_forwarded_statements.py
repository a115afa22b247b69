"""What daemons state beside a forwarded request, on the wire."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.msgpack import decode, encode

from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    Draining,
    EndpointRefused,
    Overloaded,
    PeerMessageInvalid,
    TimedOut,
)
from cranberrywick.gateway.forwarded_statements import (
    STATEMENT_HEADER,
    STATEMENT_HEADER_BYTES,
    AnswerStatement,
    RequestStatement,
    decode_answer_statement,
    decode_request_statement,
    encode_answer_statement,
    encode_request_statement,
    take_statement,
)
from cranberrywick.gateway.reach_rows import pack_reach, unpack_reach
from cranberrywick.model import EndpointRefusal, Executed
from cranberrywick.routing.reachability import ReachStatement

REQUEST = RequestStatement(
    "front-1",
    0.25,
    4.5,
    41,
    "pool",
    ("e1",),
    ("e1", "e2"),
    ("fd-b",),
    "12",
    "3",
)


def test_a_request_statement_arrives_as_it_was_sent():
    assert decode_request_statement(encode_request_statement(REQUEST)) == REQUEST
    plain = RequestStatement("front-1", 0.0, 1.0, 0, "desk")
    assert decode_request_statement(encode_request_statement(plain)) == plain


@pytest.mark.parametrize("executed", [Executed.NO, Executed.UNKNOWN])
@pytest.mark.parametrize(
    "kind", [AmbiguousSend, AnswerLost, Draining, Overloaded, TimedOut]
)
def test_a_failure_arrives_with_whether_the_request_ran(kind, executed):
    """Guards against a repeated call, or a refusal of one that ran."""
    error = kind("why", retry_after=1.5, executed=executed)
    value = encode_answer_statement(AnswerStatement("e1", 7, error, "e2"))
    stated = decode_answer_statement(value)
    assert stated[:2] == ("e1", 7) and stated.at_fault_id == "e2"
    assert type(stated.error) is kind
    assert stated.error.executed is executed
    assert stated.error.retry_after == 1.5


@pytest.mark.parametrize("reason", EndpointRefusal)
def test_a_refusal_arrives_with_its_reason(reason):
    """Guards against a peer's lost link that counts as an endpoint's refusal."""
    error = EndpointRefused("why", reason=reason)
    stated = decode_answer_statement(
        encode_answer_statement(AnswerStatement("", 0, error, "e2"))
    )
    assert type(stated.error) is EndpointRefused
    assert stated.error.reason is reason
    assert stated.error.executed is Executed.NO


def test_a_failure_of_a_later_build_counts_as_one_after_which_it_may_have_run():
    """Guards against a call that is repeated for an error that is not known here."""

    class NewError(AmbiguousSend):
        type = "new_error"

    stated = decode_answer_statement(
        encode_answer_statement(AnswerStatement("e1", 7, NewError("why")))
    )
    assert isinstance(stated.error, AmbiguousSend)
    assert stated.error.executed is Executed.UNKNOWN


@pytest.mark.parametrize(
    "value", [None, b"", b"x", b"!!!!", b"eJwDAAAAAAE=", b"A" * STATEMENT_HEADER_BYTES]
)
def test_a_statement_that_cannot_be_read_is_refused(value):
    for decode_statement in (decode_request_statement, decode_answer_statement):
        with pytest.raises(PeerMessageInvalid):
            decode_statement(value)
    with pytest.raises(PeerMessageInvalid):
        decode_request_statement(b"A" * (STATEMENT_HEADER_BYTES + 4))


@given(st.binary(max_size=80), st.integers(0, 200), st.integers(0, 255))
def test_any_bytes_are_refused_or_read(noise, position, byte):
    value = bytearray(encode_request_statement(REQUEST))
    value[position % len(value)] = byte
    for data in (noise, bytes(value)):
        for decode_statement in (decode_request_statement, decode_answer_statement):
            try:
                decode_statement(data)
            except PeerMessageInvalid:
                continue


def test_a_caller_cannot_state_anything_in_the_name_of_a_daemon():
    """Guards against a caller whose header of that name takes the daemon's place."""
    own = (STATEMENT_HEADER, b"own")
    headers = [(b"forwarding-statement", b"caller's"), (b"X", b"y"), own]
    value, rest = take_statement(headers)
    assert value == b"own"
    assert rest == headers[:-1]
    assert take_statement([(b"X", b"y")]) == (None, [(b"X", b"y")])


REACH = ReachStatement(7341, ("desk",), ("pool",))


def test_rows_of_reach_grow_without_a_break():
    """A reader ignores what is appended and fills in what is missing."""
    (row,) = decode(pack_reach([REACH]))
    rows = unpack_reach(encode([[*row, "new", [1]], row[:1], []]))
    assert rows.error == ""
    assert rows.values_by_position == {
        0: REACH,
        1: ReachStatement(7341),
        2: ReachStatement(),
    }
    assert unpack_reach(b"").values_by_position == {}


@pytest.mark.parametrize("bad", [["x"], [-1], [70000], [1, [2]], [1, "x"], 5, None])
def test_a_row_of_reach_that_cannot_be_read_is_dropped_alone(bad):
    (row,) = decode(pack_reach([REACH]))
    rows = unpack_reach(encode([row, bad, row]))
    assert rows.values_by_position == {0: REACH, 2: REACH}
    assert rows.error


@given(st.binary(max_size=80))
def test_any_bytes_of_reach_are_refused_or_read(data):
    unpack_reach(data)
