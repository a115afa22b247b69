"""What daemons know of crashes under prompts, without a network."""

from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.gateway.crash_rows import pack_crashes
from cranberrywick.gateway.fleet_link import MAX_DATAGRAM_BYTES
from cranberrywick.routing.crash_statement import (
    EVIDENCE_SECONDS,
    MAX_TRAITS,
    QUARANTINE_SECONDS,
    CrashStatement,
    EndpointCrash,
    LostRequest,
    Quarantine,
    TraitAnswer,
)
from cranberrywick.routing.known_crashes import (
    ADOPTED_SECONDS,
    MAX_ANSWERED,
    MAX_CRASHES,
    REPORT_SECONDS,
    RESTORED_SECONDS,
    SETTLE_SECONDS,
    STATE_SECONDS,
    KnownCrashes,
)
from cranberrywick.routing.request_traits import RequestTraits

BAD = ("first", "bad", "own")


def traits(segment_ids):
    return RequestTraits(segment_ids, b"POST", "host", b"/prompts/1", b"")


def crash(number, *prompts):
    prompts = prompts or (("first", "bad"),)
    lost = tuple(LostRequest(each, sent_for=0.5) for each in prompts)
    return EndpointCrash(f"e{number}", 1, float(number), lost)


def with_crashes(count=3):
    crashes = KnownCrashes()
    for number in range(count):
        crashes.add(crash(number), now=float(number))
    return crashes


def is_refused(crashes, now, segment_ids=BAD):
    return bool(crashes.find(traits(segment_ids), now))


def answer(crashes, segment_ids, now, is_whole=True):
    return crashes.answered(traits(segment_ids), is_whole, now)


def test_an_answer_right_after_another_ends_a_quarantine():
    """Guards against a quarantine that outlives the answer of what was under way."""
    crashes = with_crashes(1)
    assert answer(crashes, BAD, 1.9)
    lost = (LostRequest(("first", "bad"), sent_for=0.05),)
    for number in range(6):
        at = 2.0 + number / 10
        crashes.add(EndpointCrash(f"c{number}", 1, at, lost), now=at)
    assert is_refused(crashes, 2.6)
    assert answer(crashes, BAD, 2.65)
    assert not is_refused(crashes, 2.65)


def test_a_conclusion_on_one_request_is_in_force_at_once():
    """Guards against a fourth endpoint under repeats that follow each other closely."""
    crashes, request = KnownCrashes(), traits(BAD)
    for number in range(3):
        crashes.add(crash(number, request.all), now=float(number))
    (found,) = crashes.find(request, 2.0)
    assert found.trait_id == request.content
    assert not is_refused(crashes, 2.0, ("first", "bad", "other"))


def test_only_a_whole_answer_clears_a_request_s_content():
    """Guards against a request whose answers begin well and then end endpoints."""
    crashes, request = KnownCrashes(), traits(BAD)
    for number in range(3):
        crashes.add(crash(number, (request.content,)), now=float(number))
    crashes.answered(request, is_whole=False, now=2.5)
    assert crashes.find(request, 3.0)
    crashes.answered(request, is_whole=True, now=3.5)
    assert not crashes.find(request, 3.5)


def test_a_crash_heard_of_late_is_dated_by_the_earliest_statement():
    """Guards against a resend that seems to have been sent before the crash."""
    crashes = KnownCrashes()
    for at in (1.2, 1.05, 1.1):
        stated = EndpointCrash("e1", 1, at, crash(1).lost)
        crashes.receive(CrashStatement((stated,)), 3.0)
    assert crashes._crashes_by_start["e1", 1].at == 1.05


def test_crashes_that_different_daemons_saw_add_up():
    """Guards against a cause that no daemon has seen often enough by itself."""
    daemons = [KnownCrashes() for _ in range(3)]
    for number, daemon in enumerate(daemons):
        daemon.add(crash(number), now=3.0)
    for daemon in daemons:
        for other in daemons:
            daemon.receive(other.statement(3.0), 3.0)
    settled = 3.0 + 1.1 * SETTLE_SECONDS
    assert all(is_refused(daemon, settled) for daemon in daemons)


def test_a_segment_whose_prompts_are_its_own_is_never_refused():
    """Guards against one caller's prompt that is taken for the cause."""
    crashes = with_crashes()
    assert not is_refused(crashes, 3.0, ("bad",))
    assert not is_refused(crashes, 3.0, ("first", "other", "bad"))


def test_an_answer_clears_only_what_its_prompt_shares():
    """Guards against a cause that is cleared by a prompt whose own segment it is."""
    crashes = with_crashes()
    answer(crashes, ("other", "bad"), 3.0)
    assert is_refused(crashes, 3.0)


def test_an_answer_that_a_peer_gave_ends_a_quarantine():
    """Guards against callers refused although other daemons serve the same prompts."""
    accuser, witness = with_crashes(), KnownCrashes()
    answer(witness, BAD, 2.5)
    assert is_refused(accuser, 3.0)
    assert witness.receive(accuser.statement(3.0), 3.0)
    accuser.receive(witness.statement(3.0), 3.0)
    assert not is_refused(accuser, 3.0)


def test_a_witness_does_not_repeat_what_peers_know():
    """Guards against a heartbeat for each answer while something is suspected."""
    crashes = with_crashes(2)
    assert answer(crashes, BAD, 3.0)
    assert not answer(crashes, BAD, 3.5)
    assert answer(crashes, BAD, 4.5)
    assert not crashes.receive(crashes.statement(4.5), 4.6)
    assert not answer(KnownCrashes(), BAD, 3.0)


def test_a_daemon_that_missed_the_crashes_takes_over_the_quarantine():
    """Guards against a daemon that sends such prompts on after it was cut off."""
    accuser, cut_off = with_crashes(), KnownCrashes()
    now = 2.0 + REPORT_SECONDS + 1.0
    assert accuser.statement(now).crashes == ()
    cut_off.receive(accuser.statement(now), now)
    assert is_refused(cut_off, now)
    assert not is_refused(cut_off, now + ADOPTED_SECONDS)


def test_a_quarantine_that_was_taken_over_is_not_stated_to_others():
    """Guards against daemons that keep each other's quarantine alive."""
    accuser, other = with_crashes(), KnownCrashes()
    other.receive(CrashStatement(quarantines=accuser.statement(9.0).quarantines), 9.0)
    assert is_refused(other, 9.0)
    assert other.statement(9.0) == CrashStatement()
    assert other.full_statement(100.0) == CrashStatement()


def test_a_daemon_that_knows_of_an_answer_does_not_take_a_quarantine_over():
    """Guards against a quarantine that comes back from a daemon that was cut off."""
    accuser, witness = with_crashes(), KnownCrashes()
    answer(witness, BAD, 20.0)
    assert witness.receive(accuser.statement(20.1), 20.1)
    assert not is_refused(witness, 20.1)
    assert witness.statement(20.1).answers


def test_a_conclusion_counts_only_when_it_has_held():
    """Guards against callers refused for what rests on a part of the crashes."""
    crashes = with_crashes()
    assert not is_refused(crashes, 2.0)
    assert crashes.is_unsettled(2.0)
    settled = 2.0 + 1.1 * SETTLE_SECONDS
    assert is_refused(crashes, settled)
    assert not crashes.is_unsettled(settled)
    assert crashes.statement(settled).quarantines == ()
    (stated,) = crashes.statement(2.0 + STATE_SECONDS).quarantines
    assert stated[:3] == Quarantine("bad", 2.0, 3)[:3]


def test_a_newcomer_receives_all_that_is_known():
    """Guards against a restarted daemon that sends such prompts on."""
    known, newcomer = with_crashes(), KnownCrashes()
    answer(known, ("first", "own"), 2.5)
    newcomer.receive(known.full_statement(100.0), 100.0)
    assert is_refused(newcomer, 100.0)
    assert not is_refused(newcomer, 100.0, ("first", "good", "own"))


def test_a_quarantine_is_restored_from_the_store_until_it_ends():
    """Guards against a fleet that has lost all daemons and learns by crashes again."""
    crashes = KnownCrashes()
    crashes.restore(["bad"], now=50.0)
    crashes.restore(["bad"], now=50.0 + RESTORED_SECONDS / 2)
    assert is_refused(crashes, 50.0 + RESTORED_SECONDS)
    assert not is_refused(crashes, 50.0 + 2 * RESTORED_SECONDS)


def test_an_answer_ends_a_quarantine_that_the_store_has_on_record():
    """Guards against a record that outlives its cause."""
    crashes = KnownCrashes()
    crashes.restore(["bad"], now=50.0)
    answer(crashes, BAD, 51.0)
    crashes.restore(["bad"], now=60.0)
    assert not is_refused(crashes, 60.0)


def test_a_quarantine_ends_and_leaves_nothing():
    """Guards against prompts refused for good, and against memory that grows."""
    crashes = with_crashes()
    answer(crashes, ("first", "own"), 2.0)
    end = 2.0 + QUARANTINE_SECONDS
    assert is_refused(crashes, end - 0.1)
    assert not is_refused(crashes, end)
    assert crashes.statement(end) == CrashStatement()
    later = 3.0 + EVIDENCE_SECONDS
    crashes.forget(later)
    assert crashes.full_statement(later) == CrashStatement()
    assert not crashes.judged_by_id(later)


def test_a_segment_returns_to_its_quarantine_after_a_single_crash():
    """Guards against three more engines lost each time that a quarantine has ended."""
    crashes = with_crashes()
    end = 2.0 + QUARANTINE_SECONDS
    crashes.add(crash(7)._replace(at=end + 1.0), now=end + 1.0)
    assert is_refused(crashes, end + 1.0)
    assert is_refused(crashes, end + QUARANTINE_SECONDS)


def test_what_is_kept_is_bounded():
    """Guards against callers and peers that fill a daemon's memory."""
    crashes = KnownCrashes()
    for number in range(2 * MAX_CRASHES):
        crashes.add(crash(number, (f"f{number}", f"s{number}")), now=float(number))
    long = tuple(f"l{number}" for number in range(MAX_TRAITS))
    crashes.add(crash(5_000, long, ("one", "more")), now=5_000.0)
    assert crashes._crashes_by_start["e5000", 1].lost == (LostRequest(long, 0.5),)
    for number in range(2 * MAX_ANSWERED):
        answer(crashes, (f"a{number}", "own"), 1000.0)
    assert len(crashes._crashes_by_start) == MAX_CRASHES
    assert len(crashes._own_answers_by_id) == MAX_ANSWERED


def test_a_statement_fits_into_a_datagram_however_much_was_lost():
    """Guards against daemons that count as dead since they state too many crashes."""
    crashes = KnownCrashes()
    for number in range(MAX_CRASHES):
        lost = [
            (f"{number:x}s{each}".zfill(32), f"own/{number:x}o{each}".zfill(36))
            for each in range(40)
        ]
        crashes.add(crash(number, *lost), now=1000.0)
        answer(crashes, (f"{number:x}s1".zfill(32), "own"), 1000.0)
    for stated in (crashes.statement(1000.0), crashes.full_statement(1000.0)):
        assert stated.crashes and stated.answers
        assert len(pack_crashes([stated], 1000.0)) < MAX_DATAGRAM_BYTES
    assert stated.crashes[-1].endpoint_id == f"e{MAX_CRASHES - 1}"


def test_an_age_that_is_rounded_does_not_change_a_crash():
    """Guards against statements that go on for ever, each a little different."""
    crashes = with_crashes()
    for shift in (0.001, -0.001):
        stated = crash(1)._replace(at=1.0 + shift)
        crashes.receive(CrashStatement((stated,)), 3.0)
    assert crashes._crashes_by_start["e1", 1].at == 1.0


observations = st.one_of(
    st.builds(
        lambda number, prompts: CrashStatement(crashes=(crash(number, *prompts),)),
        st.integers(0, 9),
        st.lists(
            st.tuples(st.sampled_from("fg"), st.sampled_from("abcd")),
            min_size=1,
            max_size=4,
        ),
    ),
    st.builds(
        lambda segment, at: CrashStatement(answers=(TraitAnswer(segment, at),)),
        st.sampled_from("fgabcd"),
        st.integers(0, 9).map(lambda seconds: 2.0 * seconds + 0.5),
    ),
)


@given(st.lists(observations, max_size=25), st.randoms(use_true_random=False))
def test_all_daemons_draw_the_same_conclusion(statements, rng):
    """Guards against a prompt that one daemon refuses and the next one sends on."""
    conclusions = []
    for _ in range(2):
        daemon = KnownCrashes()
        for statement in statements:
            daemon.receive(statement, 20.0)
        conclusions.append(set(daemon.judged_by_id(21.0)))
        rng.shuffle(statements)
    assert conclusions[0] == conclusions[1]
