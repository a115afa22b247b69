"""The ramp of an endpoint in cold start.

Guards against a cold endpoint that gets more requests than its completed ones allow, or
that is not detected from its first-token times.
"""

from cranberrywick.decisions.cold_start import ColdRamp, FirstTokenWatch, Trouble
from cranberrywick.model import EndpointPhase

COLD, WARM = EndpointPhase.COLD, EndpointPhase.WARM


def ramping():
    ramp = ColdRamp(cold_slots=1, slots=8)
    ramp.report(1, COLD, 0.0)
    ramp.report(1, WARM, 1.0)
    return ramp


def test_the_limit_is_zero_before_the_first_report():
    assert ColdRamp(1, 8).limit == 0


def test_the_limit_grows_by_completed_work_only():
    ramp = ramping()
    for at in range(2, 1000):
        ramp.report(1, WARM, float(at))
    assert ramp.limit == 1
    limits = []
    for _ in range(7):
        ramp.complete(1)
        limits.append(ramp.limit)
    assert limits == [2, 2, 4, 4, 4, 4, 8]
    assert ramp.is_warm


def test_the_limit_does_not_grow_during_cold_reports():
    ramp = ColdRamp(2, 8)
    ramp.report(1, COLD, 0.0)
    ramp.complete(100)
    assert ramp.limit == 2


def test_a_new_incarnation_returns_to_the_cold_slots():
    ramp = ramping()
    ramp.complete(1)
    ramp.report(2, WARM, 2.0)
    assert ramp.limit == 1


def test_a_report_from_before_the_cut_changes_nothing():
    """A warm endpoint has turned cold; a warm report is still in transit.

    The report dates from before the cut. Applied, it would let the ramp grow by the
    work that the endpoint completed while it was warm.
    """
    ramp = ColdRamp(1, 8)
    ramp.report(1, WARM, 0.0)
    ramp.cut(5.0, running=4)
    ramp.report(1, WARM, 4.0)
    ramp.complete(100)
    assert ramp.limit == 1


def test_work_sent_before_a_cut_does_not_grow_the_ramp():
    ramp = ColdRamp(1, 8)
    ramp.report(1, WARM, 0.0)
    ramp.cut(5.0, running=4)
    ramp.report(1, WARM, 6.0)
    ramp.complete(4)
    assert ramp.limit == 1
    ramp.complete(1)
    assert ramp.limit == 2


def test_the_limit_of_a_leaving_endpoint_is_zero():
    ramp = ramping()
    ramp.report(1, EndpointPhase.LEAVING, 3.0)
    assert ramp.limit == 0


class TestFirstTokenWatch:
    """Detection of a cold endpoint from first-token times."""

    def watch(self):
        watch = FirstTokenWatch()
        for _ in range(20):
            watch.observe("r1", expected=0.4, seen=0.5)
        return watch

    def test_two_jumps_in_a_row_show_trouble(self):
        watch = self.watch()
        assert watch.observe("r1", 0.4, 4.0) is Trouble.NONE
        assert watch.observe("r1", 0.4, 4.0) is Trouble.SLOW_FIRST_TOKEN

    def test_single_jumps_among_usual_times_show_none(self):
        watch = self.watch()
        seen = [watch.observe("r1", 0.4, s) for s in (4.0, 0.5, 4.0, 0.5, 4.0)]
        assert set(seen) == {Trouble.NONE}

    def test_a_long_prompt_is_expected_to_be_slow(self):
        watch = self.watch()
        seen = [watch.observe("r1", 40.0, 50.0) for _ in range(5)]
        assert set(seen) == {Trouble.NONE}
