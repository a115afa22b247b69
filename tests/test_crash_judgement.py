"""Which segment is blamed for crashes, by the load pattern that leads to them."""

from math import inf

from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.routing.crash_judgement import (
    CRASHES_SINCE_ANSWER,
    CRASHES_WITHOUT_ANSWER,
    judge,
)
from cranberrywick.routing.crash_statement import EndpointCrash, LostRequest

SENT_SECONDS = 0.1
PAUSE_SECONDS = 2 * SENT_SECONDS


def crash(number, *prompts, at=None):
    at = number * PAUSE_SECONDS if at is None else at
    # Whatever coincides was sent before the first of these crashes.
    lost = tuple(LostRequest(each, SENT_SECONDS) for each in prompts)
    return EndpointCrash(f"e{number}", 1, at, lost)


def blamed(crashes, **answered_at):
    return list(judge(crashes, lambda each: answered_at.get(each, -inf)))


def test_the_segment_that_crashing_prompts_have_in_common_is_blamed():
    """Guards against prompts that are sent on until most endpoints are gone."""
    crashes = [crash(n, ("first", "bad"), (f"f{n}", f"s{n}")) for n in range(3)]
    assert blamed(crashes) == ["bad"]
    assert blamed(crashes[:2]) == []


def test_a_segment_that_others_share_is_not_blamed_once_it_was_answered():
    """Guards against callers refused because of others' prompts."""
    crashes = [crash(n, ("first", "bad"), ("first",)) for n in range(4)]
    assert blamed(crashes, first=0.1) == ["bad"]


def test_endpoints_lost_at_the_same_moment_blame_no_prompt():
    """Guards against refusals after a failure domain has lost its power."""
    crashes = [
        crash(n, ("first", f"s{n}"), at=SENT_SECONDS * n / 40) for n in range(40)
    ]
    assert blamed(crashes) == []


def test_endpoints_that_end_under_resends_in_one_moment_count_each():
    """Guards against a wave of resends that is taken for a loss of power.

    Eight endpoints end within a tenth of a second, each under what the last one lost.
    """
    resent, pause = ("first", "bad"), 0.012
    crashes = [
        EndpointCrash(f"e{n}", 1, n * pause, (LostRequest(resent, pause - 0.004),))
        for n in range(8)
    ]
    assert blamed(crashes, first=inf) == ["bad"]
    (found,) = judge(crashes, {"bad": -inf, "first": inf}.__getitem__).values()
    assert found.crashes == 8
    # The same ends, of requests that had all been sent before: the power was lost.
    before = [
        each._replace(lost=(LostRequest(resent, each.at + 0.01),)) for each in crashes
    ]
    assert blamed(before, first=inf) == []


def test_repeats_of_a_request_are_blamed_though_minutes_lie_between():
    """Guards against a request that is forgotten before it is repeated."""
    repeat = ("first", "own/1", "content/1-1")
    crashes = [crash(n, repeat, ("first", f"own/{n}"), at=300.0 * n) for n in range(3)]
    assert blamed(crashes, first=inf) == ["content/1-1"]


def test_what_a_session_shares_is_not_blamed_for_one_of_its_requests():
    """Guards against a session's sound prompts refused for one that crashes."""
    crashes = [crash(n, ("first", "own/s", "content/1-1")) for n in range(3)]
    assert blamed(crashes, first=inf) == ["content/1-1"]
    crashes.append(crash(3, ("first", "own/s", "content/1-2")))
    assert blamed(crashes, first=inf) == ["own/s"]


def test_an_answer_after_the_crashes_clears_a_segment():
    """Guards against a quarantine that outlives its cause."""
    crashes = [crash(n, ("first", "late")) for n in range(5)]
    assert blamed(crashes, first=inf, late=2.1) == []
    assert blamed(crashes, first=inf, late=0.1) == []


def test_a_segment_that_was_answered_before_is_blamed_after_more_crashes():
    """Guards against endpoints that a change of their own lets crash from now on."""
    crashes = [crash(n, ("first", "known")) for n in range(CRASHES_SINCE_ANSWER)]
    assert blamed(crashes, first=inf, known=-1.0) == ["known"]
    assert blamed(crashes[1:], first=inf, known=-1.0) == []


def test_two_segments_that_crash_endpoints_are_both_blamed():
    """Guards against one cause that hides another."""
    crashes = [crash(n, ("first", "bad" if n % 2 else "worse")) for n in range(8)]
    assert sorted(blamed(crashes, first=inf)) == ["bad", "worse"]


def test_a_prompt_that_was_sent_again_and_again_is_not_blamed_beside_the_cause():
    """Guards against a victim of several crashes that is refused for them."""
    crashes = [crash(n, ("first", "bad")) for n in range(2)]
    crashes += [crash(n, ("first", "bad"), ("first", "victim")) for n in range(2, 5)]
    assert blamed(crashes, first=inf) == ["bad"]


def test_the_segment_at_most_crashes_comes_first_though_some_coincide():
    """Guards against a deeper segment blamed that was at fewer of the crashes."""
    crashes = [crash(n, ("first", "bad", "deep")) for n in range(3)]
    at = crashes[0].at + SENT_SECONDS / 2
    crashes.append(crash(9, ("first", "bad"), at=at))
    assert blamed(crashes, first=inf) == ["bad"]


@given(
    st.lists(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from("stuvwxyz")),
            max_size=5,
        ),
        min_size=CRASHES_WITHOUT_ANSWER,
        max_size=12,
    ),
    st.sampled_from("abc"),
)
def test_the_cause_is_found_whatever_else_was_there(bystanders_by_crash, first):
    """Guards against a cause that hides among the victims of its crashes."""
    crashes = [
        crash(number, (first, "bad"), *bystanders)
        for number, bystanders in enumerate(bystanders_by_crash)
    ]
    answered_at = dict.fromkeys("abc", inf)
    # Others may be blamed beside it only if they were at as many crashes.
    found = judge(crashes, lambda each: answered_at.get(each, -inf))
    explained = [c for c in crashes if c.trait_ids & found.keys()]
    assert explained == crashes
    assert all(
        sum(each in c.trait_ids for c in crashes) >= CRASHES_WITHOUT_ANSWER
        for each in found
    )
    assert "bad" in found or any(
        all(each in c.trait_ids for c in crashes) for each in found
    )
