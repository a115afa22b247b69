"""Short runs of the soak test with fixed seeds; longer ones are started by hand.

Guards against wrong refusals and answers that only a combination of faults causes.
"""

import pytest
from gateway_soak import run_seed


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_faults(seed):
    """Callers get correct refusals, and only the answers to their own requests.

    Gateways are killed, paused and stopped, links and the store fail, endpoints fail
    and operators change the configuration. These faults follow one another and overlap.
    """
    soak, broken = run_seed(seed, seconds=6.0)
    assert not broken
    assert len(soak.record.calls) > 20


def test_a_gateway_that_is_stopped_at_the_end_is_restarted():
    """Guards against a soak that fails because of a planned stop.

    With this seed a gateway gets SIGTERM and ends after all faults were undone. The
    soak restarted ended processes only before that moment, so that it waited in vain
    for this gateway to serve again.
    """
    _, broken = run_seed(7416, seconds=10.0)
    assert not broken


@pytest.mark.parametrize("seed", [3, 7502])
def test_promises_hold_in_a_fleet_with_relays(seed):
    """The same in a fleet that sends updates through a relay, which is killed too."""
    soak, broken = run_seed(seed, seconds=6.0, gateways=20)
    assert not broken
    assert len(soak.record.calls) > 20
