"""A stand-in stops without errors, whatever the timing of its threads."""

import time

from cranberrywick.standin.server import Answer, RunningStandIn, StandIn


class SlowToStop(StandIn):
    def handle(self, request):
        return Answer(200, b"", ())

    def stopping(self):
        # Longer than one poll of the server's loop, which lasts 1 second.
        time.sleep(1.3)


def test_loop_that_wakes_during_stop_is_not_closed_too_early():
    """Guards against a stop that fails because the server's loop has ended already.

    That happened when the loop's poll ended by itself while `StandIn.stopping` was
    still running: the loop closed its trigger before the stop used it.
    """
    running = RunningStandIn(SlowToStop(), "127.0.0.1:0", threads=1)
    running.stop()
    running.stop()


def test_loop_that_stops_between_the_halves_of_a_wake_up_is_not_closed_too_early():
    """Guards against a stop that fails since the loop ran its last task early.

    The task is queued, and then the loop is woken; it may be awake already.
    """
    running = RunningStandIn(SlowToStop(), "127.0.0.1:0", threads=1)
    trigger = running._server.trigger
    wake = trigger._physical_pull

    def wake_twice():
        wake()
        time.sleep(0.2)
        wake()

    trigger._physical_pull = wake_twice
    running.stop()
