"""The format of log lines, which operators' tools parse.

Guards against secrets in the log, and against lines that a caller forges or that can't
be parsed.
"""

import io
import logging

import pytest
from logbook.compat import redirected_logging

from cranberrywick.errors import InvalidSettings, Overloaded
from cranberrywick.logs import EventLog, log_event, make_handler


@pytest.fixture
def log_lines():
    """Collect log lines; yield a function that returns them without their time."""
    stream = io.StringIO()
    with make_handler("info", stream).applicationbound():
        yield lambda: [line.split(" ", 1)[1] for line in stream.getvalue().splitlines()]


def test_event_is_one_line_of_pairs(log_lines):
    EventLog(daemon="e1").warning("peer_silent", peer="e2", seconds=3.25, known=True)
    assert log_lines() == [
        "level=warning event=peer_silent daemon=e1 peer=e2 seconds=3.25 known=true"
    ]


def test_caller_cannot_forge_a_second_event(log_lines):
    log_event("bad_header", value='x"\nlevel=error event=forged')
    assert log_lines() == [
        r'level=info event=bad_header value="x\"\nlevel=error event=forged"'
    ]


@pytest.mark.parametrize(
    "fields",
    [
        {"operator_key": "s3cret"},
        {"Authorization": "Bearer s3cret"},
        {"peer_secret": "s3cret"},
        {"error": ValueError("bad header: Authorization: Bearer s3cret")},
    ],
)
def test_secrets_are_left_out(log_lines, fields):
    log_event("event", **fields)
    (line,) = log_lines()
    assert "s3cret" not in line
    assert "[redacted]" in line


def test_counts_of_tokens_are_not_secrets(log_lines):
    log_event("event", prompt_tokens=12, first_token_seconds=0.5)
    assert log_lines()[0].endswith("prompt_tokens=12 first_token_seconds=0.5")


def test_error_names_its_type_and_place(log_lines):
    log_event("failed", error=Overloaded("queue is full"))
    try:
        raise OSError("no route")
    except OSError as error:
        log_event("failed", error=error)
    typed, raised = log_lines()
    assert typed.endswith('error="overloaded: queue is full"')
    assert 'error="OSError: no route" where=test_logs.py:' in raised


def test_long_value_is_cut(log_lines):
    log_event("event", body="x" * 1_000_000)
    assert len(log_lines()[0]) < 500


def test_level_below_the_set_one_is_left_out(log_lines):
    EventLog().debug("detail")
    assert log_lines() == []


def test_libraries_log_in_the_same_form(log_lines):
    with redirected_logging():
        logging.getLogger("a.lib").warning("queue depth is %d", 3)
    assert log_lines() == [
        'level=warning event=library_message logger=a.lib message="queue depth is 3"'
    ]


def test_unknown_level_is_a_typed_error():
    with pytest.raises(InvalidSettings, match="log_level: 'loud'"):
        make_handler("loud", io.StringIO())
