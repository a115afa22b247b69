"""Answers that callers still read when a gateway with a budget of bytes has to end."""

import threading
import time

import pytest
from gateway_fleet import Fleet, configuration, read_answer, request_bytes, wait_for
from stopping_fleet import DEADLINE, GRACE_SECONDS
from test_buffers_fleet import SmallVmFleet

CALLERS = 12
# The receive buffer of a caller, in bytes, and its pauses between reads, in seconds.
RECEIVE_BYTES, PAUSE_SECONDS = 4096, 0.05
READ_BYTES = 1024


def read_slowly(connection, answers):
    """Read an answer at 20 kB/s."""
    read = connection.recv

    class SlowConnection:
        def recv(self, size):
            time.sleep(PAUSE_SECONDS)
            return read(min(size, READ_BYTES))

    answers.append(read_answer(SlowConnection()))


@pytest.mark.parametrize(("sent_seconds", "padding"), [(-0.5, 250_000), (6.5, 100_000)])
def test_an_answer_that_is_read_slowly_is_not_cut_at_the_end(
    tmp_path, sent_seconds, padding
):
    """Guards against whole answers whose unsent part is lost with the process."""
    fleet = SmallVmFleet(tmp_path)
    try:
        limits = {**configuration()["limits"], "idleTimeoutMs": 15_000}
        fleet.configure(configuration(limits=limits))
        fleet.add_endpoint("desk-1", "desk")
        gateway = fleet.start_gateway("gateway-1")
        unread = open_unread(fleet, gateway)
        signalled_at = time.monotonic() + max(0.0, -sent_seconds)
        stop = threading.Timer(max(0.0, -sent_seconds), gateway.process.terminate)
        stop.start()
        time.sleep(max(0.0, sent_seconds))
        answers, threads = [], []
        for _ in range(CALLERS):
            connection = fleet.connect(gateway, RECEIVE_BYTES)
            headers = {**DEADLINE, "X-Padding": str(padding)}
            connection.sendall(
                request_bytes("POST", "/books/1", b"", headers, fleet.new_id())
            )
            threads.append(
                threading.Thread(target=read_slowly, args=(connection, answers))
            )
            threads[-1].start()
        assert gateway.process.wait(2 * GRACE_SECONDS) == 0
        assert time.monotonic() - signalled_at < GRACE_SECONDS
        wait_for(lambda: len(answers) == CALLERS, "the answers")
        assert [(each.status, each.whole) for each in answers] == [
            (200, True)
        ] * CALLERS
        unread.close()
    finally:
        fleet.close()


def open_unread(fleet: Fleet, gateway):
    """Send a request but for its last byte: a gateway with nothing to do ends early."""
    connection = fleet.connect(gateway)
    data = request_bytes("POST", "/books/1", b"body", DEADLINE, fleet.new_id())
    connection.sendall(data[:-1])
    time.sleep(0.2)
    return connection
