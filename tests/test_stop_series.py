"""Gateways that are stopped in series while short calls arrive now and then.

Guards against calls that are passed on to an endpoint and get no answer, since their
gateway has looked for requests a last time before it closes.
"""

from pathlib import Path

import pytest
from stop_series import SCENES, run_series

ROUNDS, CALLERS, PAUSE_SECONDS = 2, 60, 1.5


@pytest.mark.parametrize("scene", SCENES)
def test_a_call_around_a_stop_is_answered(tmp_path, scene):
    """Guards against calls that run as their stopping gateway closes."""
    series = run_series(
        tmp_path, scene, ROUNDS, CALLERS, PAUSE_SECONDS, Path(__file__).parent.parent
    )
    assert series.lines == []
    assert len(series.stops) == 3 * ROUNDS
    assert all(stop.status == 0 for stop in series.stops)
    statuses = [each.answer.status for each in series.sent]
    assert statuses.count(200) > 0.95 * len(statuses) > 300
