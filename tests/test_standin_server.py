"""Stand-ins stop in any order of their threads."""

import time

from cranberrywick.standin.server import Answer, RunningStandIn, StandIn


class SlowToStop(StandIn):
    def handle(self, request):
        return Answer(200, b"", ())

    def stopping(self):
        # Longer than the server's loop sleeps.
        time.sleep(1.3)


def test_a_loop_that_wakes_while_its_stand_in_stops_is_not_closed_too_early():
    """Guards against a stop that fails since the server's loop has ended already."""
    running = RunningStandIn(SlowToStop(), "127.0.0.1:0", threads=1)
    running.stop()
    running.stop()
