"""Which quarantined requests are sent to see whether the judgement is right."""

from cranberrywick.routing.crash_statement import Quarantine, Rival
from cranberrywick.routing.quarantine_trials import (
    LOST_TRIAL_SECONDS,
    MAX_EARLY_TRIALS,
    TRIAL_SECONDS,
    TURN_SECONDS,
    QuarantineTrials,
    Turn,
)
from cranberrywick.routing.request_traits import RequestTraits

ALONE = Turn(0, 1)
SHARED = Quarantine("b", last_crash_at=0.0, crashes=3)


def traits(*segment_ids):
    return RequestTraits(segment_ids, b"POST", "host", b"/", b"")


REQUEST = traits("a", "bad", "b", "own")
CONTENT = Quarantine(REQUEST.content, last_crash_at=0.0, crashes=3)


def first_trial(quarantine, turn=ALONE, request=REQUEST):
    """Return after how many seconds a request is sent that comes every half second."""
    trials = QuarantineTrials()
    times = (number / 2 for number in range(1400))
    return next(t for t in times if trials.admits([quarantine], request, "r", t, turn))


def test_a_shared_trait_is_tried_before_its_quarantine_ends():
    """Guards against sound callers refused since nothing is sent that clears them."""
    assert first_trial(SHARED) == TRIAL_SECONDS[0]
    assert first_trial(SHARED._replace(trials=1)) == TRIAL_SECONDS[1]
    assert first_trial(SHARED._replace(trials=9)) == TRIAL_SECONDS[-1]


def test_one_caller_s_request_is_not_tried_while_it_is_repeated():
    """Guards against a fourth endpoint under a request repeated one after the other."""
    assert first_trial(CONTENT) == TRIAL_SECONDS[-1]
    assert first_trial(CONTENT._replace(is_crowded=True)) == TRIAL_SECONDS[0]


def test_a_request_that_tells_two_explanations_apart_is_sent_at_once():
    """Guards against prompts refused that only stood beside the crashing segment."""
    ambiguous = SHARED._replace(rivals=(Rival("bad", frozenset({0, 1, 2})),))
    assert first_trial(ambiguous, request=traits("a", "b", "own")) == 0.0
    assert first_trial(ambiguous) == TRIAL_SECONDS[0]
    lost = ambiguous._replace(trials=MAX_EARLY_TRIALS)
    assert first_trial(lost, request=traits("a", "b", "own")) > TRIAL_SECONDS[0]


def test_two_rivals_that_explain_the_crashes_together_are_told_apart_from_a_trait():
    """Guards against a segment of all callers blamed for two others' crashes."""
    rivals = Rival("bad", frozenset({0, 1})), Rival("worse", frozenset({2, 3}))
    ambiguous = SHARED._replace(crashes=4, rivals=rivals)
    sound, crashing = traits("b", "good", "own"), traits("b", "worse", "own")
    assert first_trial(ambiguous, request=sound) == 0.0
    assert first_trial(ambiguous, request=crashing) == TRIAL_SECONDS[0]


def test_daemons_take_turns():
    """Guards against a trial at each daemon of a large fleet."""
    due = TRIAL_SECONDS[0]
    turns = {first_trial(SHARED, Turn(rank, 9)) // TURN_SECONDS for rank in range(9)}
    assert len(turns) == 9
    assert min(turns) * TURN_SECONDS == due


def test_one_request_is_tried_at_a_time():
    """Guards against all requests that wait for the end of a quarantine at once."""
    trials = QuarantineTrials()
    now = TRIAL_SECONDS[0]

    def admits(key):
        return trials.admits([SHARED], REQUEST, key, now, ALONE)

    assert admits("r1") and admits("r1")
    assert not admits("r2")
    trials.ended("r1")
    assert admits("r2")


def test_a_lost_trial_is_not_sent_again():
    """Guards against a trial that ends an endpoint with each of its attempts."""
    trials = QuarantineTrials()
    now = TRIAL_SECONDS[0]
    assert trials.admits([SHARED], REQUEST, "r1", now, ALONE)
    assert trials.is_trial("r1")
    trials.lost("r1", now)
    assert not trials.admits([SHARED], REQUEST, "r1", now, ALONE)
    assert not trials.admits([SHARED], REQUEST, "r2", now, ALONE)
    later = now + LOST_TRIAL_SECONDS
    trials.forget(later)
    assert trials.admits([SHARED], REQUEST, "r2", later, ALONE)


def test_what_a_peer_or_the_store_has_concluded_is_not_tried():
    """Guards against trials by each daemon that has just started."""
    adopted = Quarantine("b", last_crash_at=0.0)
    trials = QuarantineTrials()
    assert not trials.admits([adopted], REQUEST, "r", 30.0, ALONE)
    assert not trials.admits([SHARED, CONTENT], REQUEST, "r", 599.0, ALONE)
