"""Tests of whole sessions with real processes, compared with golden files.

One fleet of three daemons serves most of them. Everything that a caller or operator
sends and receives is in ``tests/golden/sessions``; those files also serve as
documentation of the interface.
"""

import json

import pytest
from fleet import (
    CALLER_KEY,
    CONFIGURATION,
    OPERATOR_KEY,
    get,
    running_fleet,
    targets,
    wait_for,
)
from transcript import Transcript

from cranberrywick.reports.gather import gather_burn

CALLER = {"Authorization": f"Bearer {CALLER_KEY}", "Content-Type": "application/json"}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory.mktemp("fleet")) as running:
        yield running


@pytest.fixture
def transcript(fleet):
    names_by_text = {d.address: name for name, d in fleet.daemons_by_id.items()}
    names_by_text[fleet.key_value.address] = "key-value service"
    transcript = Transcript(names_by_text)
    transcript.mask(r'"booking": (\d+)', "booking")
    transcript.mask(r"(?:version|--base|than) (\d+)", "version")
    return transcript


@pytest.fixture
def operator_environment(fleet):
    """Return the environment variables of an operator's shell."""
    return {
        "CRANBERRYWICK_DAEMONS": f"http://{fleet.daemons[0].address}",
        "CRANBERRYWICK_OPERATOR_KEY": OPERATOR_KEY,
    }


def completion(text, stream=False, model="drafter", max_tokens=3):
    return {
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": max_tokens,
        "stream": stream,
    }


def listed(answer):
    """Return the addresses in an answer of ``GET /v1/entries``."""
    return [entry["address"] for entry in json.loads(answer)["entries"]]


def test_ask(fleet, transcript):
    address = fleet.daemons[0].address
    transcript.note("A plain completion, and the models there are.")
    transcript.send(address, "GET", "/v1/models", headers=CALLER)
    transcript.send(
        address, "POST", "/v1/chat/completions", completion("What is due?"), CALLER
    )
    transcript.check("ask")


def test_stream(fleet, transcript):
    address = fleet.daemons[1].address
    transcript.note("A streamed completion ends with its end mark.")
    transcript.send(
        address,
        "POST",
        "/v1/chat/completions",
        completion("What is due?", stream=True),
        CALLER,
    )
    transcript.check("stream")


def test_stream_that_breaks_off(fleet, transcript):
    """Guards against lost or repeated events when the engine's connection breaks.

    The connection breaks after the second event. The daemon must resume the stream
    after the last event that it forwarded, so that the caller receives each event once,
    in order, and the end mark.
    """
    for engine in fleet.engines:
        fleet.set_fault(engine, "drop_stream", after=1, count=1)
    transcript.note("The engine's connection breaks after event 1.")
    transcript.send(
        fleet.daemons[0].address,
        "POST",
        "/v1/chat/completions",
        completion("What is due?", stream=True, max_tokens=4),
        CALLER,
    )
    left = [get(engine, "/faults")["faults"] for engine in fleet.engines]
    assert left.count([]) == 1, "one engine broke its stream"
    for engine in fleet.engines:
        fleet.clear_faults(engine)
    transcript.check("stream_that_breaks_off")


def test_book(fleet, transcript):
    """Guards against running a booking twice that a caller repeats at another entry.

    The first daemon claims the key in the platform's store before it sends the call.
    The second one must find the claim done and return the recorded answer, so that the
    service runs once. Another body under the same key must be refused.
    """
    first, second = fleet.daemons[0].address, fleet.daemons[1].address
    path = "/v1/services/booking/slots"
    keyed = {**CALLER, "Idempotency-Key": "order-17"}
    transcript.note("A call that may not run twice needs a key.")
    transcript.send(first, "POST", path, {"tube": 4}, CALLER)
    transcript.note("With a key it runs.")
    transcript.send(first, "POST", path, {"tube": 4}, keyed)
    # The first daemon answers its caller before it has stored the result. Until then,
    # the answer to a repetition is that the call is still running.
    wait_for(lambda: _book(second, path, keyed) == 200, "the recorded result")
    transcript.note("Sent again elsewhere, it is answered and does not run.")
    transcript.send(second, "POST", path, {"tube": 4}, keyed)
    transcript.note("The key belongs to that body.")
    transcript.send(second, "POST", path, {"tube": 5}, keyed)
    assert get(fleet.services[0], "/bookings")["by_key"]["order-17"] == 1
    transcript.check("book")


def test_refuse(fleet, transcript):
    address = fleet.daemons[2].address
    path = "/v1/chat/completions"
    transcript.note("No key, and one that nobody has.")
    transcript.send(address, "POST", path, completion("What is due?"))
    unknown = {"Authorization": "Bearer nobody"}
    transcript.send(address, "POST", path, completion("What is due?"), unknown)
    transcript.note("A body that is not JSON.")
    transcript.send(address, "POST", path, "{", CALLER)
    transcript.note("No such model, no such class.")
    for model in ("nonsense", "drafter:nonsense"):
        body = completion("What is due?", model=model)
        transcript.send(address, "POST", path, body, CALLER)
    transcript.note("More than the model's window holds.")
    body = completion("What is due?", max_tokens=100_000)
    transcript.send(address, "POST", path, body, CALLER)
    transcript.note("No such service, and a call that it does not have.")
    transcript.send(address, "POST", "/v1/services/nonsense/slots", {}, CALLER)
    transcript.send(address, "DELETE", "/v1/services/booking/slots", None, CALLER)
    transcript.note("No such path.")
    transcript.send(address, "GET", "/v2/nonsense", headers=CALLER)
    transcript.check("refuse")


@pytest.fixture(scope="module")
def tight_fleet(tmp_path_factory):
    """Run one daemon and one engine, with a class whose targets can't be met."""
    configuration = json.loads(json.dumps(CONFIGURATION))
    configuration["classes"]["impossible"] = targets(0.0001, 0.0002)
    folder = tmp_path_factory.mktemp("tight")
    with running_fleet(
        folder, daemons=1, engines=1, configuration=configuration
    ) as running:
        yield running


def test_refuse_what_cannot_be_in_time(tight_fleet):
    """Guards against work for an engine that can't complete it in time.

    The class's target is shorter than any engine needs. The daemon must refuse the
    request on arrival, with the statement that it did not run and a time to retry, and
    send nothing to the engine.
    """
    daemon, engine = tight_fleet.daemons[0], tight_fleet.engines[0]
    transcript = Transcript({daemon.address: "entry-a"})
    transcript.mask(r"Retry-After: (\d+)", "seconds")
    transcript.note("A class with a completion time of 0.2 ms.")
    transcript.send(
        daemon.address,
        "POST",
        "/v1/chat/completions",
        completion("What is due?", model="drafter:impossible"),
        CALLER,
    )
    assert get(engine, "/state")["completed"] == 0
    transcript.check("refuse_not_in_time")


def test_only_engine_serves_one_request_after_another(tight_fleet):
    """Guards against avoiding the only engine, though idle, because it seems slow.

    A caller sends five short requests one after another. Whatever the daemon estimates
    of the engine's speed, there is no other to prefer, so each must be answered. A
    refusal would make the service unavailable to the whole class.
    """
    address = tight_fleet.daemons[0].address
    path = "/v1/chat/completions"
    session = Transcript({})
    statuses = [
        session.send(address, "POST", path, completion("Due?"), CALLER)[0]
        for _ in range(5)
    ]
    assert statuses == [200] * 5


def test_refuse_when_the_platform_is_out(fleet, transcript):
    """Guards against a booking without a claim during a key-value outage.

    Without a claim it could run twice. The daemon must refuse it, with the statement
    that it did not run and a time to retry, and still serve completions. After the
    outage the call must run under the same key.
    """
    address = fleet.daemons[0].address
    path = "/v1/services/booking/slots"
    keyed = {**CALLER, "Idempotency-Key": "order-18"}
    transcript.note("The platform's key-value service is out.")
    fleet.set_fault(fleet.key_value, "outage")
    transcript.send(address, "POST", path, {"tube": 4}, keyed)
    transcript.note("A completion needs nothing from it.")
    transcript.send(
        address, "POST", "/v1/chat/completions", completion("What is due?"), CALLER
    )
    fleet.clear_faults(fleet.key_value)
    transcript.note("It is back.")
    wait_for(lambda: _book(address, path, keyed) == 200, "the platform's return")
    transcript.send(address, "POST", path, {"tube": 4}, keyed)
    assert get(fleet.services[0], "/bookings")["by_key"]["order-18"] == 1
    transcript.check("refuse_platform_out")


def _book(address, path, headers):
    status, _ = Transcript({}).send(address, "POST", path, {"tube": 4}, headers)
    return status


def test_configure(fleet, transcript, operator_environment, tmp_path):
    changed = json.loads(json.dumps(CONFIGURATION))
    changed["classes"]["summary"]["completion_seconds"] = 50.0
    wrong = json.loads(json.dumps(CONFIGURATION))
    wrong["classes"]["summary"]["attainment"] = 95
    for name, document in (("changed", changed), ("wrong", wrong)):
        file = tmp_path / f"{name}.json"
        file.write_text(json.dumps(document))
        transcript.name(str(file), f"{name}.json")
    current = current_version(fleet)
    transcript.name(operator_environment["CRANBERRYWICK_DAEMONS"], "daemon")

    def run(*arguments):
        return transcript.run(*arguments, environment=operator_environment)

    transcript.note("A document is checked without a daemon.")
    run("config", "check", str(tmp_path / "changed.json"))
    run("config", "check", str(tmp_path / "wrong.json"))
    transcript.note("It is applied to the version that it was made from.")
    base = str(current)
    run("config", "apply", str(tmp_path / "changed.json"), "--base", base)
    transcript.note("Another operator, who still has that version, comes too late.")
    run("config", "apply", str(tmp_path / "changed.json"), "--base", base)
    transcript.check("configure")


def test_burn_counts_the_service_and_not_its_callers(fleet, operator_environment):
    """Guards against a burn report that counts a caller's errors as misses.

    A caller repeatedly sends the same key with another body. The report, which gathers
    the counts of all three daemons, must not count these refusals as misses of the
    class's completion target.
    """
    address, path = fleet.daemons[0].address, "/v1/services/booking/slots"
    keyed = {**CALLER, "Idempotency-Key": "order-19"}
    assert _book(address, path, keyed) == 200

    def gather():
        daemon = operator_environment["CRANBERRYWICK_DAEMONS"]
        return gather_burn([daemon], OPERATOR_KEY)

    def completion_counts(report):
        return report["classes"]["booking"]["windows"]["completion"]["1h"]

    before = gather()
    for tube in range(5):
        session = Transcript({})
        assert session.send(address, "POST", path, {"other": tube}, keyed)[0] == 422
    after = gather()
    assert after["daemons"] == sorted(fleet.daemons_by_id)
    assert after["silent"] == []
    assert completion_counts(after)["good"] >= 1
    assert completion_counts(after) == completion_counts(before)


def test_metrics_are_counted_on_the_way(fleet):
    address = fleet.daemons[0].address
    body = completion("What is due?", stream=True)
    Transcript({}).send(address, "POST", "/v1/chat/completions", body, CALLER)
    expected = [
        'requests_total{class="summary",outcome="completed"}',
        'first_token_seconds_count{class="summary",prompt_length="to_2k"}',
        'token_gaps_total{class="summary",le="+Inf"}',
        'queue_wait_seconds_count{class="summary"}',
        'endpoints{phase="warm"} 3.0',
        'streams{state="open"} 0.0',
        'peer_bytes_total{direction="in"}',
    ]

    def missing():
        _, text = Transcript({}).send(address, "GET", "/metrics")
        return [name for name in expected if f"cranberrywick_{name}" not in text]

    # The loads and the end of the stream are recorded a moment after the answer.
    wait_for(lambda: not missing(), f"one of {expected}")


def current_version(fleet):
    """Return the configuration version in force on the first daemon."""
    return get(fleet.daemons[0], "/readyz")["configuration_version"]


def test_domain_out_and_back(fleet, transcript, operator_environment):
    """Guards against callers or work for a failure domain that is out.

    Its entry must no longer be listed and its engine must get no new work until the
    operator brings it back. The requests go to another entry, because the first one is
    in that domain.
    """
    address, engine = fleet.daemons[1].address, fleet.engines[0]

    def run(*arguments):
        return transcript.run(*arguments, environment=operator_environment)

    def entry_a_is_listed():
        _, answer = Transcript({}).send(address, "GET", "/v1/entries", headers=CALLER)
        return fleet.daemons[0].address in listed(answer)

    transcript.note("Out: all daemons have it in force when the command returns.")
    assert run("domain", "out", "domain-a") == 0
    run("domain", "list")
    assert not entry_a_is_listed()
    before = get(engine, "/state")["completed"]
    transcript.note("New work goes elsewhere.")
    for _ in range(3):
        transcript.send(
            address, "POST", "/v1/chat/completions", completion("Due?"), CALLER
        )
    assert get(engine, "/state")["completed"] == before
    transcript.note("Back.")
    assert run("domain", "back", "domain-a") == 0
    run("domain", "list")
    wait_for(entry_a_is_listed, "the entry of the domain that is back")
    transcript.check("domain_out_and_back")
