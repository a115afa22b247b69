"""Claims, configuration and orders in a fleet of real processes.

Guards against a booking that runs twice or is wrongly reported, because the answer to
its claim was lost, the platform failed, or the claim's holder was paused or killed.
Also guards against a change of the configuration that stale reads hide or undo, and
against several daemons that each order an engine to load a version.

Faults force the order of events. All tests share one fleet with one engine; the last
one kills the first daemon.
"""

import json
import signal
import threading
from contextlib import contextmanager

import fleet as processes
import pytest
import urllib3
from fleet import CALLER_KEY, OPERATOR_KEY, Process, get, running_fleet, wait_for

from cranberrywick.claims.store import BUCKETS, claim_digest

CLAIMS_PATH = "/v1/keys/claims"
ORGANISATION = "kask"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory.mktemp("fleet"), engines=1) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def clear_faults(fleet):
    yield
    fleet.clear_faults(fleet.key_value)


def book(daemon, key):
    """Book a slot over a connection of its own and return the answer."""
    return urllib3.request(
        "POST",
        f"http://{daemon.address}/v1/services/booking/slots",
        json={"slot": 7},
        headers={"Authorization": f"Bearer {CALLER_KEY}", "Idempotency-Key": key},
        timeout=60.0,
        retries=False,
    )


def runs_by_key(fleet):
    return get(fleet.services[0], "/bookings")["by_key"]


def claim_path(key):
    """Return the path in the store of the bucket that has a key's claim."""
    digest = claim_digest(ORGANISATION, key)
    return f"{CLAIMS_PATH}/{int(digest[:8], 16) % BUCKETS:04x}"


def wait_for_claim(daemon, key):
    """Repeat a call while the key is claimed, and return the first other answer."""
    answers = []

    def has_ended():
        answers.append(book(daemon, key))
        return answers[-1].json().get("error", {}).get("type") != "still_running"

    wait_for(has_ended, f"the end of {key}")
    return answers[-1]


@contextmanager
def claim_held(fleet, key):
    """Book at the first daemon while the store holds back the answer to its claim.

    Daemons write the results of earlier bookings later, into other buckets.
    """
    answers = []
    path = claim_path(key)

    def call():
        try:
            answers.append(book(fleet.daemons[0], key))
        except urllib3.exceptions.HTTPError as error:
            answers.append(error)

    fleet.set_fault(fleet.key_value, "hold_next_write", count=1, path=path)
    caller = threading.Thread(target=call)
    caller.start()
    wait_for(lambda: get(fleet.key_value, "/faults")["held"], "a held claim")
    yield answers
    caller.join(processes.WAIT_SECONDS)


def test_a_booking_whose_claims_answer_is_lost_runs_once(fleet):
    """The claim is written, and the answer to this write is lost.

    The first daemon finds its own nonce in the store and books. The caller repeats the
    call at the second daemon, which finds the claim and returns the first one's answer.
    """
    fleet.set_fault(fleet.key_value, "drop_next_answer", count=1, path=CLAIMS_PATH)
    first = book(fleet.daemons[0], "lost")
    assert first.status == 200
    repeated = wait_for_claim(fleet.daemons[1], "lost")
    assert (repeated.status, repeated.data) == (200, first.data)
    assert repeated.headers["Idempotency-Replayed"] == "true"
    assert runs_by_key(fleet)["lost"] == 1


def test_in_an_outage_a_booking_is_refused_and_did_not_run(fleet):
    """The platform is unavailable, so that a booking's claim can't be written.

    The booking must not be sent and must be refused as not run, with the time to retry.
    After the outage its key must book once.
    """
    fleet.set_fault(fleet.key_value, "outage", path=CLAIMS_PATH)
    refused = book(fleet.daemons[0], "out")
    assert refused.status == 503
    assert refused.json()["error"]["executed"] == "no"
    assert int(refused.headers["Retry-After"]) > 0
    assert "out" not in runs_by_key(fleet)
    fleet.clear_faults(fleet.key_value)
    assert book(fleet.daemons[1], "out").status == 200
    assert runs_by_key(fleet)["out"] == 1


def test_a_paused_holder_is_the_only_one_that_books(fleet):
    """The first daemon is stopped between its claim and the booking.

    The caller repeats the call at the second daemon, which must not take over the
    claim: the first daemon continues later and books. Otherwise the slot would be
    booked twice.
    """
    first, second = fleet.daemons[:2]
    with claim_held(fleet, "paused") as answers:
        first.signal(signal.SIGSTOP)
        try:
            fleet.clear_faults(fleet.key_value)
            repeated = book(second, "paused")
            booked = runs_by_key(fleet)
        finally:
            first.signal(signal.SIGCONT)
    assert repeated.json()["error"]["type"] == "still_running"
    assert "paused" not in booked
    assert answers[0].status == 200
    assert wait_for_claim(second, "paused").data == answers[0].data
    assert runs_by_key(fleet)["paused"] == 1


def test_a_change_reaches_every_daemon_though_the_platform_reads_stale(fleet, tmp_path):
    """An operator's change is accepted, and from then on every read is stale.

    The other daemons can receive the change from peers only, and reads of the old
    version must not undo it. A daemon that then starts in an outage receives it from
    peers too, before it reports that it is ready.
    """
    fleet.set_fault(fleet.key_value, "stale_reads")
    get(fleet.key_value, "/v1/keys/config%2Fcurrent")
    answer = urllib3.request(
        "POST",
        f"http://{fleet.daemons[0].address}/operator/v1/domains/domain-b",
        json={"out": True},
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        timeout=60.0,
        retries=False,
    )
    assert answer.status == 200
    version = answer.json()["version"]
    for daemon in fleet.daemons:
        wait_for(
            lambda d=daemon: version_of(d) == version, f"{daemon.name} at {version}"
        )
    fleet.set_fault(fleet.key_value, "outage")
    started = start_daemon(fleet, tmp_path)
    try:
        started.wait_until_ready()
        wait_for(lambda: is_ready(started), "a daemon that starts in an outage")
        assert version_of(started) == version
    finally:
        started.stop()
    assert {version_of(daemon) for daemon in fleet.daemons} == {version}


def version_of(daemon):
    return get(daemon, "/readyz")["configuration_version"]


def is_ready(daemon):
    return get(daemon, "/readyz")["ready"]


def start_daemon(fleet, folder):
    """Start one more daemon with the first one's settings and its own id."""
    template = fleet.daemons[0].log_file.with_suffix(".json")
    settings = {**json.loads(template.read_text()), "daemon_id": "entry-z"}
    path = folder / "entry-z.json"
    path.write_text(json.dumps(settings))
    return Process("entry-z", ["serve", "--settings", str(path)], folder)


def test_the_steward_of_an_engine_has_it_load_the_wanted_version(fleet):
    """An engine starts with a version that operators no longer list.

    One of three daemons orders it to load the listed one, with a fencing number from
    the platform, and the others don't repeat the order.
    """
    engine = fleet.engines[0]
    old = {"order": "load_model", "model": "drafter", "version": "0", "fence": 0}
    processes.post(engine, "/v1/orders", old)
    fleet.set_fault(engine, "turn_warm")
    wait_for(lambda: get(engine, "/v1/load")["versions"] == {"drafter": "1"}, "a load")
    ordered = get(engine, "/v1/orders")["orders"][1:]
    assert [order["version"] for order in ordered] == ["1"]
    assert ordered[0]["fence"] > 0


def test_a_daemon_killed_with_its_claim_leaves_it_unknown(fleet):
    """The first daemon is killed after its claim was written, before it booked.

    No other daemon can find out that it did not book, so the claim stays: a repeated
    call at another daemon is not run, and is answered with an unknown outcome.
    """
    first, second = fleet.daemons[:2]
    with claim_held(fleet, "killed") as answers:
        first.signal(signal.SIGKILL)
        first.wait()
        fleet.clear_faults(fleet.key_value)
        repeated = book(second, "killed")
        assert repeated.status == 409
        assert repeated.json()["error"]["executed"] == "unknown"
    assert isinstance(answers[0], urllib3.exceptions.HTTPError)
    assert "killed" not in runs_by_key(fleet)
