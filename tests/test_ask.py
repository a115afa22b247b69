"""The caller and ``cranberrywick ask``, against entries with prepared answers.

Guards against a request that is sent a second time although it may have run, and
against callers that give up while another entry could answer.
"""

import json
import threading
from contextlib import ExitStack, contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from click.testing import CliRunner

from cranberrywick.cli.ask import ask
from cranberrywick.cli.caller import Answered, Caller, Failed, Refused, Rejected

LIFETIME_SECONDS = 30


class Entry(ThreadingHTTPServer):
    """An entry that returns ``addresses`` and gives its ``answers`` in order."""

    daemon_threads = True

    def __init__(self, addresses):
        super().__init__(("127.0.0.1", 0), Handler)
        self.addresses = addresses
        self.answers = []
        self.requests = []
        addresses.append(self.address)
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_port}"

    def stop(self):
        self.shutdown()
        self.server_close()


class Handler(BaseHTTPRequestHandler):
    def do_GET(self):
        self.server.requests.append((self.path, dict(self.headers), b""))
        entries = [{"address": a, "failure_domain": "a"} for a in self.server.addresses]
        body = {"entries": entries, "lifetime_seconds": LIFETIME_SECONDS}
        self.answer(200, {}, json.dumps(body).encode())

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.requests.append((self.path, dict(self.headers), body))
        self.answer(*self.server.answers.pop(0))

    def answer(self, status, headers, data):
        self.send_response(status)
        headers = {"X-Request-Id": "r-1", "Content-Length": str(len(data)), **headers}
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *arguments):
        pass


def stream(*pieces, end="data: [DONE]\n\n"):
    events = [{"choices": [{"delta": {"content": piece}}]} for piece in pieces]
    events.append({"choices": [], "usage": {"completion_tokens": len(pieces)}})
    data = "".join(f"id: {n}\ndata: {json.dumps(e)}\n\n" for n, e in enumerate(events))
    return 200, {}, (data + end).encode()


def error(status, kind, executed, **headers):
    body = dict(type=kind, message="m", executed=executed, request_id="r-1")
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return status, headers, json.dumps({"error": body}).encode()


class Clock:
    """Clock that advances only while the caller waits between attempts."""

    def __init__(self):
        self.now = 0.0
        self.waits = []

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.waits.append(seconds)
        self.now += seconds


@pytest.fixture
def clock():
    return Clock()


@contextmanager
def entries_running(number):
    addresses = []
    with ExitStack() as stack:
        entries = [Entry(addresses) for _ in range(number)]
        for entry in entries:
            stack.callback(entry.stop)
        yield entries


@pytest.fixture
def entries():
    with entries_running(2) as running:
        yield running


@pytest.fixture
def caller(entries, clock):
    urls = [f"http://{entries[0].address}"]
    return Caller(urls, "k", patience_seconds=20.0, clock=clock, sleep=clock.sleep)


def posts(entry):
    return [request for request in entry.requests if request[0] != "/v1/entries"]


def test_stream_arrives_piece_by_piece(entries, caller):
    entries[0].answers = [stream("Due ", "in May.")]
    pieces = []
    outcome = caller.complete("drafter", "When?", 8, pieces.append)
    assert pieces == ["Due ", "in May."]
    assert isinstance(outcome, Answered)
    assert (outcome.text, outcome.output_tokens) == ("Due in May.", 2)
    ((path, headers, body),) = posts(entries[0])
    assert (path, headers["Authorization"]) == ("/v1/chat/completions", "Bearer k")
    assert json.loads(body)["model"] == "drafter"


def test_addresses_are_kept_for_their_lifetime(entries, caller, clock):
    entries[0].answers = [stream("a")] * 3
    for _ in range(2):
        caller.complete("drafter", "When?", 8)
    assert [path for path, *_ in entries[0].requests].count("/v1/entries") == 1
    clock.now += LIFETIME_SECONDS
    caller.complete("drafter", "When?", 8)
    assert [path for path, *_ in entries[0].requests].count("/v1/entries") == 2


def test_draining_entry_is_left_at_once(entries, caller, clock):
    entries[0].answers = [error(503, "draining", "no", Retry_After="5")]
    entries[1].answers = [stream("a")]
    outcome = caller.complete("drafter", "When?", 8)
    assert (outcome.entry, outcome.attempts) == (entries[1].address, 2)
    assert not any(clock.waits)


def test_unreachable_entry_is_left_at_once(entries, caller, clock):
    entries[0].answers = [stream("a")]
    entries[1].answers = [stream("b")]
    caller.complete("drafter", "When?", 8)
    entries[0].stop()
    outcome = caller.complete("drafter", "When?", 8)
    assert (outcome.text, outcome.attempts) == ("b", 2)
    assert not any(clock.waits)


def test_refusal_of_a_full_fleet_is_retried_after_the_stated_time(
    entries, caller, clock
):
    entries[0].answers = [error(429, "overloaded", "no", Retry_After="7")]
    entries[1].answers = [stream("a")]
    outcome = caller.complete("drafter", "When?", 8)
    assert isinstance(outcome, Answered)
    assert clock.waits == [7.0]


def test_retries_end_with_the_patience(entries, caller, clock):
    entries[0].answers = [error(429, "overloaded", "no", Retry_After="60")]
    outcome = caller.complete("drafter", "When?", 8)
    assert isinstance(outcome, Refused)
    assert (outcome.error.retry_after, clock.waits) == (60.0, [])


@pytest.mark.parametrize(
    "answer, kind",
    [
        (error(502, "ambiguous_send", "unknown"), "ambiguous_send"),
        (error(504, "timed_out", "yes"), "timed_out"),
        ((502, {}, b"<html>a proxy's page</html>"), "answer_lost"),
        (stream("half", end=""), "answer_lost"),
        (stream("half", end='data: {"error": {}}\n\n'), "answer_lost"),
    ],
)
def test_request_that_may_have_run_is_not_sent_again(entries, caller, answer, kind):
    """Guards against a second run, which could be a second booking.

    The answer is an error that does not exclude that the request ran, or it is cut
    off. The caller reports a failure and sends nothing to another entry.
    """
    entries[0].answers = [answer]
    outcome = caller.complete("drafter", "When?", 8)
    assert isinstance(outcome, Failed)
    assert outcome.error.type == kind
    assert posts(entries[1]) == []


def test_wrong_request_is_not_sent_again(entries, caller):
    entries[0].answers = [error(404, "unknown_model", "no")]
    outcome = caller.complete("nonsense", "When?", 8)
    assert isinstance(outcome, Rejected)
    assert posts(entries[1]) == []


def test_call_in_progress_is_sent_again_under_the_same_key(entries, caller, clock):
    entries[0].answers = [error(409, "still_running", "unknown", Retry_After="2")]
    entries[1].answers = [(201, {}, b'{"slot": 4}')]
    outcome = caller.call_service("booking", "POST", "/slots", "{}", "order-17")
    assert outcome.text == '{"slot": 4}'
    assert clock.waits == [2.0]
    (first,), (second,) = posts(entries[0]), posts(entries[1])
    assert first[0] == "/v1/services/booking/slots"
    assert first[1]["Idempotency-Key"] == second[1]["Idempotency-Key"] == "order-17"


def run_ask(entry, *arguments):
    options = ["--entry", f"http://{entry.address}", "--key", "k", "--patience", "0"]
    return CliRunner().invoke(ask, [*options, *arguments])


@pytest.mark.parametrize(
    "answer, exit_code",
    [
        (stream("a"), 0),
        (error(429, "overloaded", "no"), 3),
        (error(504, "timed_out", "unknown"), 4),
        (error(404, "unknown_model", "no"), 5),
    ],
)
def test_exit_code_matches_the_outcome(entries, answer, exit_code):
    entries[0].answers = [answer]
    result = run_ask(entries[0], "--json", "--model", "drafter", "When?")
    assert result.exit_code == exit_code
    assert json.loads(result.stdout)["attempts"] == 1


def test_command_shows_text_and_first_token_time(entries):
    entries[0].answers = [stream("Due ", "in May.")]
    result = run_ask(entries[0], "--model", "drafter", "When?")
    assert result.stdout == "Due in May.\n"
    assert "first token" in result.stderr


def test_prompt_and_call_exclude_each_other(entries):
    result = run_ask(entries[0], "--model", "m", "--call", "b", "POST", "/s", "When?")
    assert result.exit_code == 2
