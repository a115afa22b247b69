"""The first word that an endpoint is leaving holds until it starts again."""

from cranberrywick.decisions.endpoint_phases import EndpointPhases
from cranberrywick.model import EndpointLoad, EndpointPhase


def load(incarnation: int, reported_at: float, phase=EndpointPhase.WARM):
    """Return a report of endpoint ``e1``."""
    return EndpointLoad("e1", incarnation, phase, reported_at)


def test_a_late_report_does_not_reopen_a_leaving_endpoint():
    """A caller's request is cut by an endpoint that goes away.

    The endpoint refuses as leaving, then a report that it sent earlier arrives and
    says warm. Taking the last word would send new work to it again.
    """
    phases = EndpointPhases()
    phases.record_load(load(3, 10.0))
    assert phases.mark_leaving("e1", 3)

    late = phases.record_load(load(3, 11.0))

    assert late.phase is EndpointPhase.LEAVING
    assert not phases.mark_leaving("e1", 3)


def test_a_new_incarnation_opens_the_endpoint_again():
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


def test_the_vm_list_closes_an_endpoint_for_as_long_as_it_says_so():
    phases = EndpointPhases()
    phases.record_load(load(1, 1.0))

    phases.set_listed(["e1"], leaving=["e1"])
    assert phases.current("e1").phase is EndpointPhase.LEAVING

    phases.set_listed(["e1"], leaving=[])
    assert phases.current("e1").phase is EndpointPhase.WARM


def test_an_endpoint_off_the_list_is_forgotten():
    phases = EndpointPhases()
    phases.record_load(load(1, 1.0))

    phases.set_listed([], leaving=[])

    assert phases.current("e1") is None


def test_a_notice_closes_an_endpoint_that_has_not_reported_here():
    """A request is refused by an endpoint that a peer has said is leaving.

    The daemon is not the endpoint's steward and has had no report of it; the
    notice alone must close it.
    """
    phases = EndpointPhases()

    assert phases.mark_leaving("e1", 2)

    assert phases.current("e1").phase is EndpointPhase.LEAVING
