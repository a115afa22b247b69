"""Claims: at most one holder, replayed results, refusals of calls that never ran.

Guards against a call that runs twice under one key, and against a key that stays
blocked by a claim whose call never ran.
"""

import threading

import pytest
from claim_fakes import Clock, Daemon

from cranberrywick.claims.outcomes import (
    AlreadyDone,
    Claimed,
    ClaimsFull,
    ClaimsUnreadable,
    InProgress,
    KeyReused,
    RecordedResult,
    Unknown,
)
from cranberrywick.claims.slices import RETENTION_SECONDS, SLICE_SECONDS
from cranberrywick.claims.store import claim_digest
from cranberrywick.errors import PlatformUnavailable
from cranberrywick.model import Executed
from cranberrywick.standin.kv import InProcessKeyValueStore, KeyValueStandIn

RESULT = RecordedResult(201, "application/json", b'{"slot": 7}')
WAIT_SECONDS = 30.0


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def standin(clock):
    standin = KeyValueStandIn(clock)
    yield standin
    standin.faults.close()


@pytest.fixture
def daemon(standin, clock):
    return Daemon(standin, clock)


@pytest.fixture
def other(standin, clock):
    return Daemon(standin, clock)


def test_one_daemon_claims_and_the_other_gets_the_result(daemon, other, clock):
    outcome = daemon.claim(request_id="first")
    assert isinstance(outcome, Claimed)
    assert other.claim() == InProgress("first")
    daemon.claims.record(outcome.claim, RESULT)
    assert daemon.claims.flush()
    assert other.claim() == AlreadyDone("first", RESULT)
    assert other.claim(body="another body") == KeyReused()


def test_an_open_claim_is_unknown_after_its_time_and_never_taken_over(
    daemon, other, clock
):
    """A holder is paused past its deadline, and the caller repeats the call.

    The holder may have sent the booking before the pause, or may send it afterwards.
    The repeated call must get an unknown outcome and not run.
    """
    holder = daemon.claim(request_id="first")
    clock.advance(31.0)
    assert other.claim() == Unknown("first")
    daemon.claims.record(holder.claim, RESULT)
    daemon.claims.flush()
    assert other.claim() == AlreadyDone("first", RESULT)


def test_an_outcome_recorded_as_unknown_stays_so(daemon, other):
    holder = daemon.claim(request_id="first")
    daemon.claims.record_unknown(holder.claim)
    daemon.claims.flush()
    assert other.claim() == Unknown("first")


def test_an_organisation_never_meets_anothers_claims(daemon):
    assert isinstance(daemon.claim("k", organisation="kask"), Claimed)
    assert isinstance(daemon.claim("k", organisation="aigaion"), Claimed)
    assert claim_digest("a", "1:b") != claim_digest("a:1", "b")


def test_keys_are_not_kept_in_the_clear(daemon, standin):
    daemon.claim("order-of-kask-4711", organisation="kask")
    stored = InProcessKeyValueStore(standin).list("claims/").entries
    assert "4711" not in stored[0].value
    assert "kask" not in stored[0].value


def test_in_an_outage_nothing_is_claimed_and_the_refusal_says_not_run(
    daemon, other, standin
):
    daemon.claim("warm-up")
    standin.faults.set("outage")
    with pytest.raises(PlatformUnavailable) as caught:
        daemon.claim()
    assert caught.value.executed is Executed.NO
    assert caught.value.retry_after > 0
    standin.faults.clear()
    assert isinstance(other.claim(), Claimed)


def test_a_lost_answer_is_settled_by_the_nonce(daemon, other):
    """The claim is written, and the answers to the first two writes are lost.

    The same compare-and-swap is sent again and is refused with the present value.
    The value contains this claim's nonce, so the claim is known to be held.
    """
    daemon.key_value.write_outcomes = ["unanswered", "unanswered"]
    assert isinstance(daemon.claim(request_id="first"), Claimed)
    assert other.claim() == InProgress("first")


def test_a_lost_write_loses_to_whoever_claims_meanwhile(daemon, other):
    """A write is lost, and another daemon claims the key before the next attempt."""
    daemon.key_value.write_outcomes = ["lost"]
    daemon.on_next_pause = lambda: other.claim(request_id="other")
    assert daemon.claim() == InProgress("other")


def test_an_unsettled_claim_is_given_up_once_the_platform_answers(daemon, other):
    """The claim is written, and all answers are lost until the attempts time out.

    The caller is told that the call did not run and repeats it with the same key.
    The claim must be released, or the caller could not run the call for a day.
    """
    daemon.key_value.write_outcomes = ["unanswered"] + ["lost"] * 10
    with pytest.raises(PlatformUnavailable) as caught:
        daemon.claim(request_id="first")
    assert caught.value.executed is Executed.NO
    assert other.claim() == InProgress("first")
    daemon.key_value.write_outcomes = []
    assert daemon.claims.flush()
    assert isinstance(other.claim(), Claimed)


def test_a_write_that_arrives_after_its_release_changes_nothing(daemon, other):
    """A claim's write is delayed in the network until the claim has been released.

    Its caller was told that the call did not run. If the write were accepted now, the
    claim would block the key without a holder. It is refused, since the release
    advanced the key's revision.
    """
    daemon.key_value.write_outcomes = ["delayed"] + ["lost"] * 10
    with pytest.raises(PlatformUnavailable):
        daemon.claim()
    daemon.key_value.write_outcomes = []
    assert daemon.claims.flush()
    daemon.key_value.deliver()
    assert isinstance(other.claim(), Claimed)


def test_stale_reads_do_not_make_a_second_holder(daemon, other, standin):
    """Reads are stale: the second daemon reads no claim, and its write is refused."""
    daemon.claim("another key")
    standin.freeze_reads()
    assert isinstance(daemon.claim(request_id="first"), Claimed)
    assert other.claim() == InProgress("first")


def test_a_stale_list_of_slices_drops_no_claim(daemon, other, standin):
    """A second daemon starts while lists are stale and lack the first one's slice.

    It reads no slice and creates its own. The first daemon's claim belongs to a slice
    that is missing from the second one's list. If that slice counted as lapsed, the
    claim would be dropped and the call would run again.
    """
    standin.freeze_reads()
    assert isinstance(daemon.claim(request_id="first"), Claimed)
    assert other.claim() == InProgress("first")


def test_claims_that_cannot_be_read_are_not_taken_for_none(daemon, standin):
    """The stored value is malformed; replacing it could run a booking twice."""
    daemon.claim()
    InProcessKeyValueStore(standin).put("claims/0000", '{"claims": [1]}')
    with pytest.raises(ClaimsUnreadable):
        daemon.claim("new key")


def test_results_are_kept_over_an_outage(daemon, other, standin):
    holder = daemon.claim(request_id="first")
    standin.faults.set("outage")
    daemon.claims.record(holder.claim, RESULT)
    assert not daemon.claims.flush()
    assert daemon.claims.backlog == 1
    standin.faults.clear()
    daemon.claims.start()
    daemon.claims.stop()
    assert other.claim() == AlreadyDone("first", RESULT)


def test_claims_made_together_share_a_write(daemon, standin):
    """Twenty claims arrive while another claim is being written.

    The platform accepts few writes a second. All twenty must wait for the answer to
    the first write and then share a second one.
    """
    daemon.claim("warm-up")
    standin.faults.set("hold_next_write", count=1)
    writes = standin.counts_by_kind["write"]
    outcomes = []
    threads = [
        threading.Thread(target=lambda n=n: outcomes.append(daemon.claim(f"key-{n}")))
        for n in range(21)
    ]
    threads[0].start()
    assert standin.faults.wait_held("hold_next_write")
    for thread in threads[1:]:
        thread.start()
    waiting = daemon.claims._queue._pending_by_bucket
    with daemon.claims._queue._changed:
        while len(waiting.get("0000", ())) < 20:
            daemon.claims._queue._changed.wait(0.01)
    standin.faults.clear()
    for thread in threads:
        thread.join(WAIT_SECONDS)
    assert [type(outcome) for outcome in outcomes] == [Claimed] * 21
    assert standin.counts_by_kind["write"] - writes == 2


def test_a_full_bucket_refuses_and_large_results_are_not_kept(daemon, other):
    holder = daemon.claim("large", request_id="first")
    large = RESULT._replace(body=b"x" * 100_000)
    daemon.claims.record(holder.claim, large)
    daemon.claims.flush()
    assert other.claim("large") == AlreadyDone("first", None)
    padding = "p" * 20_000
    with pytest.raises(ClaimsFull) as caught:
        for number in range(100):
            daemon.claim(f"key-{number}", request_id=padding)
    assert caught.value.executed is Executed.NO
    # Claims made before the bucket was full are kept.
    assert other.claim("large") == AlreadyDone("first", None)


def test_claims_go_when_the_platform_says_that_their_time_has_passed(
    daemon, standin, clock
):
    holder = daemon.claim("old", request_id="first")
    daemon.claims.record(holder.claim, RESULT)
    daemon.claims.flush()
    for _ in range(int(RETENTION_SECONDS / SLICE_SECONDS)):
        clock.advance(SLICE_SECONDS)
        daemon.claim("tick")
    assert daemon.claim("old") == AlreadyDone("first", None)
    clock.advance(5 * SLICE_SECONDS)
    daemon.claim("tick again")
    assert isinstance(daemon.claim("old"), Claimed)


def test_a_wall_clock_that_jumps_drops_no_claim(daemon, standin, clock):
    """A daemon writes a bucket after its wall clock has jumped two days ahead.

    If retention were measured by that clock, the write would drop every live claim,
    and a repeated booking would run a second time.
    """
    daemon.claim(request_id="first")
    other = Daemon(standin, clock, wall_clock=lambda: clock() + 2 * RETENTION_SECONDS)
    other.claim("another key")
    assert isinstance(daemon.claim(), InProgress)


def test_a_holder_paused_for_hours_does_not_act(daemon, other, clock):
    """A process is paused between choosing a claim's slice and writing the claim.

    The slice may lapse before the claim's retention ends. The claim must be released
    and its caller told that the call did not run.
    """
    daemon.claim("warm-up")
    daemon.key_value.write_outcomes = ["lost"]
    daemon.on_next_pause = lambda: clock.advance(SLICE_SECONDS)
    with pytest.raises(PlatformUnavailable):
        daemon.claim()
    daemon.claims.flush()
    assert isinstance(other.claim(), Claimed)
