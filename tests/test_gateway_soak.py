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
