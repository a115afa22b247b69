"""A short run of the soak with fixed seeds; longer ones are run by hand."""

import pytest
from gateway_soak import run_seed


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_faults(seed):
    """Callers see refusals that are true and answers that are their own.

    Gateways are killed, paused and stopped, links and the store misbehave, endpoints
    fail, operators change things: one after the other, and overlapping.
    """
    soak, broken = run_seed(seed, seconds=6.0)
    assert not broken
    assert len(soak.calls) > 20


def test_promises_hold_in_a_fleet_with_relays():
    """The same for a fleet that tells its news through a relay, which dies as well."""
    soak, broken = run_seed(3, seconds=6.0, gateways=20)
    assert not broken
    assert len(soak.calls) > 20
