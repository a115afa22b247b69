"""An endpoint reported as leaving stays so until a new incarnation.

Guards against new work for a leaving endpoint after an older report that it is warm.
"""

from cranberrywick.decisions.endpoint_phases import EndpointPhases
from cranberrywick.model import EndpointLoad, EndpointPhase


def load(incarnation: int, reported_at: float, phase=EndpointPhase.WARM):
    """Return a report of endpoint ``e1``."""
    return EndpointLoad("e1", incarnation, phase, reported_at)


def test_a_late_report_does_not_reopen_a_leaving_endpoint():
    """A caller's request is cut off by an endpoint that shuts down.

    The endpoint refuses a request as leaving, then a report that it sent earlier
    arrives and says warm. Applied as it is, it would send new work there again.
    """
    phases = EndpointPhases()
    phases.record_load(load(3, 10.0))
    assert phases.mark_leaving("e1", 3)

    delayed = phases.record_load(load(3, 11.0))

    assert delayed.phase is EndpointPhase.LEAVING
    assert not phases.mark_leaving("e1", 3)


def test_a_new_incarnation_reopens_a_leaving_endpoint():
    phases = EndpointPhases()
    phases.record_load(load(3, 10.0, EndpointPhase.LEAVING))

    assert phases.record_load(load(4, 20.0, EndpointPhase.COLD)).phase is (
        EndpointPhase.COLD
    )
    assert not phases.is_leaving("e1")


def test_reports_of_an_older_incarnation_are_ignored():
    phases = EndpointPhases()
    phases.record_load(load(4, 20.0))

    assert phases.record_load(load(3, 30.0)) is None
    assert phases.record_load(load(4, 19.0)) is None
    assert phases.current("e1").reported_at == 20.0


def test_an_endpoint_is_leaving_while_the_vm_list_says_so():
    phases = EndpointPhases()
    phases.record_load(load(1, 1.0))

    phases.set_listed(["e1"], leaving=["e1"])
    assert phases.current("e1").phase is EndpointPhase.LEAVING

    phases.set_listed(["e1"], leaving=[])
    assert phases.current("e1").phase is EndpointPhase.WARM


def test_an_endpoint_that_is_not_listed_is_dropped():
    phases = EndpointPhases()
    phases.record_load(load(1, 1.0))

    phases.set_listed([], leaving=[])

    assert phases.current("e1") is None


def test_a_notice_marks_an_endpoint_without_reports_as_leaving():
    """A request is refused by an endpoint that a peer has reported as leaving.

    The daemon is not the endpoint's steward and has received no report of it, so the
    notice alone must mark it as leaving.
    """
    phases = EndpointPhases()

    assert phases.mark_leaving("e1", 2)

    assert phases.current("e1").phase is EndpointPhase.LEAVING
