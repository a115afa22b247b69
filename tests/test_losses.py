"""The report of lost requests, from daemons' log lines.

Guards against a request that is counted under the wrong cause or with the wrong loss,
and against lines that are skipped unnoticed, or stop the report, because another
program wrote them or the end of the log was cut off.
"""

import io

import pytest
from click.testing import CliRunner

from cranberrywick.cli.main import main
from cranberrywick.logs import EventLog, make_handler
from cranberrywick.reports.log_lines import LogLine, UnreadableLine, read_lines
from cranberrywick.reports.losses import Cause, Weights, losses_of


def line(request_id="r1", **fields):
    """Return a `request_ended` line as the gateway writes it."""
    known = {
        "request_id": request_id,
        "route": "captions",
        "outcome": "completed",
        "status": 200,
        "sent": 1,
        "seconds": 1.0,
        "waited": 0.0,
        "first_event": 0.1,
        "predicted": 0.1,
        "longest_gap": 0.1,
        "tokens": 5000,
        "target": 0.3,
        "gap_target": 0.25,
        **fields,
    }
    stream = io.StringIO()
    with make_handler("info", stream).applicationbound():
        EventLog(daemon="d1").info("request_ended", **known)
    return stream.getvalue()


def read(*lines):
    return list(read_lines("log", lines))


def cause_of(**fields):
    return losses_of(read(line(**fields)), Weights({})).requests[0].cause


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({}, Cause.ON_TIME),
        ({"first_event": 0.4}, Cause.UNFORESEEN),
        ({"first_event": 0.4, "predicted": 0.25}, Cause.FORESEEN),
        ({"first_event": 0.4, "waited": 0.2}, Cause.WAITED),
        ({"first_event": 0.4, "sent": 2}, Cause.REPEATED),
        ({"longest_gap": 0.3}, Cause.PAUSED),
        ({"outcome": "endpoint_refused", "status": 503}, Cause.REFUSED),
        ({"outcome": "answer_lost", "status": 502}, Cause.BROKEN_OFF),
        ({"outcome": "timed_out", "status": 504, "first_event": None}, Cause.FAILED),
        ({"outcome": "caller_gone", "status": 0}, Cause.LEFT_EARLY),
        ({"outcome": "caller_gone", "first_event": 0.4}, Cause.CALLER_GONE),
        (
            {"outcome": "caller_gone", "first_event": None, "seconds": 0.4},
            Cause.CALLER_GONE,
        ),
        ({"outcome": "unauthorised", "status": 401}, Cause.NOT_ALLOWED),
        ({"first_event": None, "gap_target": 0, "seconds": 0.4}, Cause.UNFORESEEN),
    ],
)
def test_each_request_has_one_cause(fields, cause):
    assert cause_of(**fields) is cause


def test_loss_is_weighed_by_size_and_by_whether_an_answer_came():
    lines = read(
        line("r1", tokens=3000, first_event=0.4),
        line("r2", tokens=5000, outcome="endpoint_refused", status=503),
        line("r3", tokens=4000),
    )
    report = losses_of(lines, Weights({"captions": 2.0}))
    assert report.owed == pytest.approx(6.0)
    assert report.by_cause[Cause.REFUSED].lost == pytest.approx(2 * 1.175)
    assert report.by_cause[Cause.UNFORESEEN].lost == pytest.approx(2 * 0.825 * 0.75)
    assert report.by_cause[Cause.REFUSED].examples == ("r2",)
    assert next(iter(report.by_cause)) is Cause.REFUSED


def test_unreadable_lines_are_reported_and_skipped():
    """A log file holds another program's output, and its last line was cut off.

    Both lines are reported by number, and the whole line before them is still read.
    """
    whole = line()
    found = read(whole, "\n", "Traceback (most recent call last):\n", whole[:60])
    assert [type(found_line) for found_line in found] == [
        LogLine,
        type(None),
        *[UnreadableLine] * 2,
    ]
    assert [found_line.number for found_line in found[2:]] == [3, 4]


def test_prefix_of_a_log_collector_is_skipped():
    assert read("12.5 gateway-3 " + line("r7"))[0].fields["request_id"] == "r7"


class TestCommand:
    def run(self, tmp_path, text, *options):
        log = tmp_path / "gateway.log"
        log.write_text(text, encoding="utf-8")
        return CliRunner().invoke(main, ["report", "losses", str(log), *options])

    def test_prints_causes_and_reachable_share_and_writes_the_plot(self, tmp_path):
        plot = tmp_path / "hour.svg"
        text = line("r1") + line("r2", longest_gap=0.5)
        result = self.run(tmp_path, text, "--served", "0.5", "--plot", str(plot))
        assert result.exit_code == 0
        assert "pause above the limit" in result.output
        assert "been on time: 0.875; never reached one: 0.125" in result.output
        assert "<svg" in plot.read_text(encoding="utf-8")

    def test_unreadable_lines_are_listed(self, tmp_path):
        result = self.run(tmp_path, line() + "what is this\n")
        assert result.exit_code == 3
        assert "gateway.log:2" in result.output

    def test_empty_log_has_its_own_exit_code(self, tmp_path):
        assert self.run(tmp_path, "").exit_code == 4

    def test_worth_without_a_number_is_refused(self, tmp_path):
        result = self.run(tmp_path, line(), "--worth", "captions")
        assert result.exit_code == 2
        assert "ROUTE=WORTH" in result.output
