"""The report of lost requests, from daemons' log lines.

Guards against a request that is counted under the wrong cause or with the wrong loss,
and against lines that are skipped unnoticed, or stop the report, because another
program wrote them or the end of the log was cut off.
"""

import io
import re

import pytest
from click.testing import CliRunner

from cranberrywick.cli.main import main
from cranberrywick.logs import EventLog, make_handler
from cranberrywick.reports.breakdown import Grouping, counts_by_group
from cranberrywick.reports.log_lines import LogLine, UnreadableLine, read_lines
from cranberrywick.reports.losses import Cause, Weights, losses_of

# Outcomes of a group with one request, which was lost.
LOST = (0, 0, 0, 1)


def line(request_id="r1", daemon="d1", **fields):
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
        EventLog(daemon=daemon).info("request_ended", **known)
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


def test_probes_are_left_out_by_route_and_the_others_are_listed():
    """Guards against a share of losses that operators' probes make look small."""
    lines = read(
        line("r1", organisation="school", first_event=0.4),
        line("r2", route="probe", organisation="", tokens=None),
        line("r3", route="desk", organisation="", tokens=None),
        line("r4", route="", outcome="not_found", status=404, tokens=None),
    )
    report = losses_of(lines, Weights({}), routes_left_out={"probe"})
    assert report.owed == pytest.approx(2.0)
    assert report.left_out == 1
    assert report.anonymous_by_route == {"desk": 1}


def test_a_mean_size_does_not_depend_on_routes_that_are_left_out():
    lines = read(line("r1"), line("r2", route="probe", tokens=90_000))
    assert losses_of(lines, Weights({}), {"probe"}).owed == pytest.approx(1.0)


class TestBreakdown:
    """Guards against losses of one group that the sums over all requests hide."""

    LINES = (
        line("r1", daemon="front-a-1", priority=0, organisation="school"),
        line("r2", daemon="front-a-2", priority=0, longest_gap=0.3),
        line("r3", daemon="front-b-1", priority=2, tokens=45_000, first_event=0.4),
        line("r4", daemon="front-b-1", priority=2, outcome="overloaded", status=503),
        line("r5", daemon="other", outcome="answer_lost", status=502, tokens=None),
        line("r6", daemon="other", outcome="unauthorised", status=401),
    )

    @pytest.mark.parametrize(
        ("grouping", "expected"),
        [
            ("priority", {"0": (1, 1, 0, 0), "2": (0, 1, 1, 0), "unknown": LOST}),
            ("organisation", {"none": (0, 2, 1, 1), "school": (1, 0, 0, 0)}),
            ("failure-domain", {"a": (1, 1, 0, 0), "b": (0, 1, 1, 0), "unknown": LOST}),
            (
                "length",
                {
                    "no prompt": LOST,
                    "under 8,000": (1, 1, 1, 0),
                    "30,000 to 100,000": (0, 1, 0, 0),
                },
            ),
        ],
    )
    def test_each_owed_request_counts_once(self, grouping, expected):
        requests = losses_of(read(*self.LINES), Weights({})).requests
        pattern = re.compile("front-([a-z])-")
        found = counts_by_group(requests, Grouping(grouping), pattern)
        assert list(found.items()) == list(expected.items())


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

    def test_tables_by_group_are_printed_on_request(self, tmp_path):
        text = line(daemon="d-a-1") + line(daemon="d-b-1", outcome="x", status=503)
        options = ["--by", "failure-domain", "--domain-pattern", "d-(.)-"]
        result = self.run(tmp_path, text, *options, "--by", "length")
        assert result.exit_code == 0
        rows = [row.split() for row in result.output.splitlines()]
        assert ["b", "1", "0", "0", "1", "0"] in rows
        assert ["under", "8,000", "2", "1", "0", "1", "0"] in rows

    @pytest.mark.parametrize(
        "options", [(), ("--domain-pattern", "("), ("--domain-pattern", "front")]
    )
    def test_a_failure_domain_without_a_usable_pattern_is_refused(
        self, tmp_path, options
    ):
        result = self.run(tmp_path, line(), "--by", "failure-domain", *options)
        assert result.exit_code == 2

    def test_routes_that_may_be_probes_are_listed_until_they_are_left_out(
        self, tmp_path
    ):
        text = line() + line(route="desk", tokens=None)
        assert "(--without-route): 1 (desk 1)" in self.run(tmp_path, text).output
        result = self.run(tmp_path, text, "--without-route", "desk")
        assert "routes that were left out: 1\n" in result.output
        assert "owed 1.0" in result.output

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
