"""Short runs of the soak of stops; longer ones are started by hand.

Guards against requests that are lost in a combination of states, signals and faults.
"""

import pytest
from stop_soak import run_seed


@pytest.mark.parametrize("seed", [1, 8])
def test_stops_lose_no_request(tmp_path, seed):
    """Each request that a stopping gateway has read is answered, and truthfully."""
    broken, statuses = run_seed(seed, tmp_path)
    assert not broken
    assert sum(statuses.values()) >= 15
