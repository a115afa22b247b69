"""Gateways that are told to stop while they are short of processor time."""

from pathlib import Path

import pytest
from busy_stops import SCENES, busy_stops

CALLERS, BUSY = 160, 5


@pytest.mark.parametrize("scene", SCENES)
def test_a_late_event_loop_answers_all_that_it_has_read(tmp_path, scene):
    """Guards against requests without an answer as a gateway's last steps are late."""
    program = Path(__file__).parent.parent
    with busy_stops(tmp_path, CALLERS, BUSY, scene=scene, program=program) as stops:
        assert [stops.describe(each) for each in stops.lost] == []
        assert stops.killed == 0, stops.describe_killed()
        assert len(stops.sent) > CALLERS
