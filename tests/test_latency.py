"""The latency report, from daemons' log lines.

Guards against latencies that are reported for the wrong group, and against failed
answers that count.
"""

import io

import pytest
from click.testing import CliRunner

from cranberrywick.cli.main import main
from cranberrywick.logs import EventLog, make_handler
from cranberrywick.reports.latency import latency_of
from cranberrywick.reports.log_lines import read_lines


def line(**fields):
    known = {
        "request_id": "r1",
        "route": "captions",
        "outcome": "completed",
        "endpoint": "e1",
        "seconds": 1.0,
        "first_event": 0.1,
        "tokens": 5000,
        "target": 0.3,
        **fields,
    }
    stream = io.StringIO()
    with make_handler("info", stream).applicationbound():
        EventLog(daemon="d1").info("request_ended", **known)
    return stream.getvalue()


def report(*lines):
    return latency_of(list(read_lines("log", lines)))


def test_first_tokens_are_grouped_by_length():
    found = report(line(), line(first_event=0.5), line(tokens=45_000, first_event=0.4))
    short = found.by_length["under 8,000"]
    assert (short.count, short.late) == (2, 1)
    assert short.p50 == pytest.approx(0.3)
    assert found.by_length["30,000 to 100,000"].count == 1


def test_calls_are_grouped_by_endpoint():
    call = {"tokens": None, "first_event": None, "seconds": 0.06}
    found = report(line(**call), line(**call, endpoint="e2"), line())
    assert {
        name: latency.count for name, latency in found.calls_by_endpoint.items()
    } == {
        "e1": 1,
        "e2": 1,
    }


def test_short_prompts_are_grouped_by_the_long_work_of_the_same_second():
    alone = line().replace("time=20", "time=19", 1)
    found = report(alone, line(first_event=0.2), line(tokens=200_000, first_event=1.0))
    assert found.short_by_long_work["little long work"].p50 == pytest.approx(0.1)
    assert found.short_by_long_work["much long work"].p50 == pytest.approx(0.2)


def test_answers_that_failed_have_no_latency():
    assert not report(line(outcome="timed_out")).by_length


@pytest.mark.parametrize(
    ("text", "code"), [(line(), 0), ("?\n", 4), (line() + "?\n", 3)]
)
def test_command_prints_the_report(tmp_path, text, code):
    log = tmp_path / "gateway.log"
    log.write_text(text)
    result = CliRunner().invoke(main, ["report", "latency", str(log)])
    assert result.exit_code == code
    assert "first token by prompt length" in result.output
