"""The last lines of a daemon's log, whose output is read late or whose end is no stop.

Guards against daemons of which nobody can tell how they ended.
"""

import fcntl
import os
import re
import signal
import struct
import subprocess
import sys
import termios
import time
from pathlib import Path

import pytest
from gateway_fleet import (
    ROOT,
    Fleet,
    Gateway,
    running_gateways,
    wait_for,
)

GRACE_SECONDS = 8.0
# Less than what a pipe holds by the length of one write, in bytes.
FULL_PIPE_BYTES = 65536 - 4096


class PipedFleet(Fleet):
    """Gateways whose output is a pipe that is read when a test reads it."""

    def start_process(self, settings: Path, log: Path) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "-m", "cranberrywick", "gateway"],
            cwd=ROOT,
            env={**os.environ, "CRANBERRYWICK_CONFIG": str(settings)},
            stdout=subprocess.PIPE,
            stderr=log.open("a"),
        )


class ClosedFleet(Fleet):
    """Gateways whose standard output is closed."""

    def start_process(self, settings: Path, log: Path) -> subprocess.Popen:
        return subprocess.Popen(
            ["sh", "-c", 'exec "$0" -m cranberrywick gateway >&-', sys.executable],
            cwd=ROOT,
            env={**os.environ, "CRANBERRYWICK_CONFIG": str(settings)},
            stderr=log.open("a"),
        )


def fill_pipe(fleet: Fleet, gateway: Gateway) -> None:
    """Send calls until a gateway's log fills the pipe that it is written to."""
    while True:
        held = fcntl.ioctl(gateway.process.stdout, termios.FIONREAD, bytes(4))
        if struct.unpack("i", held)[0] > FULL_PIPE_BYTES:
            break
        for _ in range(10):
            assert fleet.call(gateway, "GET", "/reads/1").status == 200
    for _ in range(20):
        assert fleet.call(gateway, "GET", "/reads/1").status == 200


@pytest.mark.parametrize("late", [0.0, 1.0])
def test_a_log_that_is_read_late_has_its_end(tmp_path, late):
    """Guards against a daemon that ends before its log is read, as it has time left."""
    with running_gateways(tmp_path, fleet_type=PipedFleet) as fleet:
        (gateway,) = fleet.gateways
        fill_pipe(fleet, gateway)
        signalled_at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        wait_for(lambda: not fleet.is_ready(gateway), "the gateway to close")
        # It is not ready from the signal on, and closes its addresses at the end.
        wait_for(lambda: not accepts(fleet, gateway), "the gateway to close")
        time.sleep(late)
        log = gateway.process.stdout.read()
        assert gateway.process.wait() == 0
        assert time.monotonic() - signalled_at < GRACE_SECONDS
    assert log.endswith(b"\n")
    assert b"event=drain_started" in log and b"event=gateway_stopped" in log
    assert b"event=log_lines_dropped" not in log


def accepts(fleet: Fleet, gateway: Gateway) -> bool:
    """Return whether a gateway accepts connections of callers."""
    try:
        fleet.connect(gateway).close()
    except OSError:
        return False
    return True


def test_a_daemon_whose_log_nobody_reads_ends_in_time(tmp_path):
    """Guards against a daemon that waits for its log's reader until it is killed."""
    with running_gateways(tmp_path, fleet_type=PipedFleet) as fleet:
        (gateway,) = fleet.gateways
        fill_pipe(fleet, gateway)
        gateway.process.send_signal(signal.SIGTERM)
        assert gateway.process.wait(GRACE_SECONDS) == 0


def test_a_second_signal_leaves_the_log_its_end(tmp_path):
    """Guards against a stop that a second signal cuts short."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        gateway.process.send_signal(signal.SIGTERM)
        wait_for(lambda: "event=drain_started" in gateway.log, "the stop")
        gateway.process.send_signal(signal.SIGINT)
        gateway.process.send_signal(signal.SIGTERM)
        assert gateway.process.wait(GRACE_SECONDS) == 0
        assert "event=gateway_stopped" in gateway.log.splitlines()[-1]


def test_a_daemon_that_fails_tells_it_in_its_log(tmp_path):
    """Guards against a log that just ends, as an exception has ended its daemon."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        # Its addresses are taken.
        failing = fleet.restart(gateway)._replace(name="failing")
        try:
            assert failing.process.wait(10.0) == 1
        finally:
            failing.process.kill()
            failing.process.wait()
        failed = 'level=error event=gateway_failed error=.*Address already in use"'
        assert re.search(failed, gateway.log)


def test_a_daemon_without_an_output_serves(tmp_path):
    """Guards against log lines that are written to the socket of a caller."""
    with running_gateways(tmp_path, fleet_type=ClosedFleet) as fleet:
        (gateway,) = fleet.gateways
        for _ in range(20):
            assert fleet.call(gateway, "GET", "/reads/1").status == 200
        gateway.process.send_signal(signal.SIGTERM)
        assert gateway.process.wait(GRACE_SECONDS) == 0
