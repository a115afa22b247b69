"""The burn report: from the daemons' answers to a table, JSON and a page.

Guards against figures that count a daemon twice, and against a report that hides that a
daemon did not answer.
"""

import json
import re
import threading
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from xml.etree import ElementTree

import pytest
from click.testing import CliRunner

from cranberrywick.cli.report import report as report_command
from cranberrywick.model import ClassTargets
from cranberrywick.reports.burn import EndedRequest
from cranberrywick.reports.fleet import merge
from cranberrywick.reports.recorder import BurnRecorder
from cranberrywick.reports.table import render_table

TARGETS = ClassTargets(1.0, 30.0, 0.061, 0.95)
CLASS = "grants <&>"
KEY = "operator-key"


def answer(daemon_id, good, bad, version=1):
    """Return the answer of a daemon that has been running for an hour."""
    now = [0.0]
    recorder = BurnRecorder(daemon_id, clock=lambda: now[0])
    recorder.set_targets({CLASS: TARGETS}, version)
    now[0] = 3_600.0
    for _ in range(good):
        recorder.add(EndedRequest(CLASS, 1.0, first_token_seconds=0.5))
    for _ in range(bad):
        recorder.add(EndedRequest(CLASS, None))
    return recorder.answer()


class Handler(BaseHTTPRequestHandler):
    """Gives the answers in the server's ``answers_by_path``, to an operator only."""

    def do_GET(self):
        body = self.server.answers_by_path.get(self.path)
        allowed = self.headers["Authorization"] == f"Bearer {KEY}"
        status = 404 if body is None else 200 if allowed else 401
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *arguments):
        pass


@contextmanager
def fake_daemons(*burn_answers):
    """Run one server for each answer; yield their addresses."""
    servers = [ThreadingHTTPServer(("127.0.0.1", 0), Handler) for _ in burn_answers]
    addresses = [f"127.0.0.1:{server.server_port}" for server in servers]
    for server, burn_answer in zip(servers, burn_answers, strict=True):
        if isinstance(burn_answer, dict):
            burn_answer["addresses"] = addresses
        server.answers_by_path = {"/operator/v1/burn": burn_answer}
        threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    yield addresses
    for server in servers:
        server.shutdown()
        server.server_close()


def run_burn(address, *options, key=KEY):
    arguments = ["burn", "--entry", f"http://{address}", "--key", key, *options]
    return CliRunner().invoke(report_command, arguments)


def test_counts_of_all_daemons_are_added():
    merged = merge([answer("e1", 90, 0), answer("e2", 0, 10)], [])
    window = merged["classes"][CLASS]["windows"]["completion"]["1h"]
    assert window == {"good": 90, "bad": 10, "burn": 2.0}
    assert merged["coverage"]["1h"] == 1.0
    assert merged["coverage"]["3d"] == 0.0139


def test_newest_configuration_names_the_classes():
    old = answer("e1", 1, 0)
    new = answer("e2", 1, 0, version=2)
    new["classes"] = {}
    merged = merge([old, new], [])
    assert merged["classes"] == {}
    assert "configuration versions differ: 1, 2" in render_table(merged)


@pytest.mark.parametrize("bad, alert", [(100, "page"), (10, "ticket"), (3, "none")])
def test_alert_needs_both_windows(bad, alert):
    merged = merge([answer("e1", 100 - bad, bad)], [])
    assert merged["classes"][CLASS]["alerts"]["completion"] == alert


def test_few_requests_raise_no_alert():
    merged = merge([answer("e1", 0, 19)], [])
    assert merged["classes"][CLASS]["alerts"]["completion"] == "none"


def test_report_without_any_daemon():
    assert "daemons that answered: none" in render_table(merge([], []))


def test_silent_daemons_are_named_with_the_reason():
    """One daemon of two answers with HTML in place of JSON.

    The operator sees the figures of the other daemon, the address of the broken one
    with the reason, and exit code 3.
    """
    with fake_daemons(answer("e1", 95, 5), b"<html>") as (good, broken):
        result = run_burn(good)
    assert result.exit_code == 3
    assert "daemons that answered: e1" in result.output
    assert f"did not answer: {broken} (answer_lost" in result.output
    assert re.search(r"completion +30 s +1\.00", result.output)


def test_daemon_asked_at_two_addresses_counts_once():
    with fake_daemons(answer("e1", 95, 5)) as (address,):
        port = address.rpartition(":")[2]
        result = run_burn(f"localhost:{port}", "--json")
    assert json.loads(result.output)["daemons"] == ["e1"]


def test_json_is_complete():
    with fake_daemons(answer("e1", 95, 5)) as (address,):
        result = run_burn(address, "--json")
    assert result.exit_code == 0
    merged = json.loads(result.output)
    assert merged["daemons"] == ["e1"]
    assert merged["classes"][CLASS]["windows"]["completion"]["5m"]["burn"] == 1.0


def test_page_is_self_contained_and_its_plots_are_drawn(tmp_path):
    page_file = tmp_path / "burn.html"
    with fake_daemons(answer("e1", 50, 50)) as (address,):
        result = run_burn(address, "--html", str(page_file))
    assert result.exit_code == 0
    page = page_file.read_text()
    assert not re.search(r"""(src|href)=["']""", page)
    assert "grants &lt;&amp;&gt;" in page and CLASS not in page
    plots = [
        ElementTree.fromstring(svg) for svg in re.findall(r"<svg.*?</svg>", page, re.S)
    ]
    titles = {text.text for plot in plots for text in plot.iter() if text.text}
    assert {"Burn by window", "Burn over the last six hours", "completion"} <= titles


def test_wrong_key_is_refused():
    with fake_daemons(answer("e1", 1, 0)) as (address,):
        result = run_burn(address, key="wrong")
    assert result.exit_code == 4
    assert "unauthorised" in result.output


def test_entry_that_does_not_listen():
    with fake_daemons(answer("e1", 1, 0)) as (address,):
        pass
    result = run_burn(address)
    assert result.exit_code == 4
    assert "answer_lost" in result.output
