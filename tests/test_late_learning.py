"""What a gateway knows of its endpoints while its loop is late again and again."""

import threading
import time
from contextlib import contextmanager
from signal import SIGCONT, SIGSTOP

from stopping_fleet import GRACE_SECONDS
from stream_stops import check_whole_or_refused, quick_fleet, send_stream, stop_and_wait

# For how long a gateway stands still, and how long it runs in between, in seconds.
STALL_SECONDS, RUN_SECONDS = 0.6, 0.3
# The pause between two events at slow engines, in seconds.
SLOW_SECONDS = 0.35
# For how long streams run before the signal, in seconds.
SERVED_SECONDS = 11.0


@contextmanager
def stalled(gateway):
    """Let a gateway stand still again and again."""
    ends = threading.Event()

    def stall():
        while not ends.is_set():
            gateway.process.send_signal(SIGSTOP)
            time.sleep(STALL_SECONDS)
            gateway.process.send_signal(SIGCONT)
            ends.wait(RUN_SECONDS)

    thread = threading.Thread(target=stall)
    thread.start()
    try:
        yield
    finally:
        ends.set()
        thread.join()


def test_a_late_gateway_knows_how_slow_its_endpoints_are(tmp_path):
    """Guards against late streams that are sent to slow endpoints, and cut."""
    with quick_fleet(tmp_path, gateways=1) as fleet:
        (gateway,) = fleet.gateways
        known = [
            send_stream(fleet, gateway, events, tokens=51 * events)
            for events in range(8, 48)
        ]
        assert all(caller.answer().status == 200 for caller in known)
        for endpoint in fleet.endpoints.values():
            endpoint.event_seconds = SLOW_SECONDS
        with stalled(gateway):
            # They outlast the grace period.
            for _ in range(6):
                send_stream(fleet, gateway, 80, tokens=51 * 80)
            time.sleep(SERVED_SECONDS)
            stop_and_wait(fleet, gateway, 3.2)
            late = [send_stream(fleet, gateway, 14, tokens=14 * 51) for _ in range(6)]
            check_whole_or_refused(fleet, late)
        assert gateway.process.wait(GRACE_SECONDS) == 0
