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


def test_a_gateway_told_to_stop_at_the_end_is_awaited():
    """A seed in which one that was told to stop ended after all faults were undone.

    Its callers get no connection until it runs again, as after any planned stop. The
    soak took it for lost, since it looked for dead processes only before.
    """
    _, broken = run_seed(7416, seconds=10.0)
    assert not broken


@pytest.mark.parametrize("seed", [3, 7502])
def test_promises_hold_in_a_fleet_with_relays(seed):
    """The same for a fleet that tells its news through a relay, which dies as well."""
    soak, broken = run_seed(seed, seconds=6.0, gateways=20)
    assert not broken
    assert len(soak.calls) > 20
