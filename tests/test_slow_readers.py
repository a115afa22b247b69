"""Callers that read long answers slowly, beside others of the same endpoint.

Guards against the time that a caller takes to read counting as its endpoint's.
"""

import asyncio
import threading
import time
from contextlib import contextmanager, suppress
from types import SimpleNamespace

import pytest
from gateway_fleet import request_bytes, wait_for
from stopping_fleet import DEADLINE, GRACE_SECONDS, running_stopping_fleet
from test_waiting import PROFILE, state

from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.observations import EndpointObservations
from cranberrywick.logs import EventLog
from cranberrywick.routing.model import Service

# Longer than what the kernel and the gateway's connection take at once, in bytes. The
# second is longer than what the gateway keeps of one answer.
LONG_BYTES = (7_500_000, 12_000_000)
RECEIVE_BYTES = 65_536
# How fast the caller reads: in bytes and seconds a read.
READ_BYTES, READ_SECONDS = 8192, 0.08
# For how long it has read before others come, in seconds.
READ_BEFORE_SECONDS = 4.0
SENT_CALLS, SEND_SECONDS = 20, 0.15
# Longer than an endpoint takes for a long answer, and shorter than its reader.
TARGET_MS = 2_000


@contextmanager
def slow_reader(fleet, padding):
    """Send a call and read its answer slowly, until the end of the block."""
    is_over = threading.Event()
    connection = fleet.connect(fleet.gateways[0], RECEIVE_BYTES)
    request_id = fleet.new_id()

    def read():
        with connection, suppress(ConnectionError):
            while not is_over.wait(READ_SECONDS) and connection.recv(READ_BYTES):
                pass

    headers = {**DEADLINE, "X-Padding": str(padding)}
    connection.sendall(request_bytes("GET", "/reads/9", b"", headers, request_id))
    thread = threading.Thread(target=read)
    thread.start()
    try:
        wait_for(lambda: fleet.runs(request_id) == 1, "the run")
        time.sleep(READ_BEFORE_SECONDS)
        yield
    finally:
        is_over.set()
        thread.join()


@pytest.mark.parametrize("padding", LONG_BYTES)
def test_calls_are_served_at_a_stop_beside_one_that_is_read_slowly(tmp_path, padding):
    """Guards against calls that are expected to take as long as another's reader."""
    with running_stopping_fleet(tmp_path, slots=8) as fleet:
        (gateway,) = fleet.gateways
        fleet.endpoints["desk-1"].work_seconds = 0.05
        version = fleet.reconfigure({"targetLatencyMs": TARGET_MS})
        wait_for(lambda: f"version={version}" in gateway.log, "the target")
        with slow_reader(fleet, padding):
            signalled_at = fleet.stop(gateway)
            calls = fleet.send_reads(gateway, SENT_CALLS, SEND_SECONDS, signalled_at)
            statuses = [call.answer().status for call in calls]
            assert statuses == [200] * SENT_CALLS
            assert gateway.process.wait(GRACE_SECONDS) == 0
        assert "event=endpoint_pace_changed" not in gateway.log


def test_an_endpoint_that_has_answered_is_free_though_its_answer_is_not_read(tmp_path):
    """Guards against a slot that stays taken until a slow caller has read."""
    with running_stopping_fleet(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        fleet.endpoints["desk-1"].work_seconds = 0.05
        with slow_reader(fleet, LONG_BYTES[0]):
            began = time.monotonic()
            assert fleet.send(gateway, "GET", "/reads/1").answer().status == 200
            assert time.monotonic() - began < 1.0


def test_a_stream_that_is_read_slowly_leaves_its_engine_fast():
    """Guards against an engine that counts as slow since a caller reads slowly."""

    async def main():
        built, changes = state(), []
        built.peer_updates.observation_changed = lambda: changes.append(True)
        exchange = SimpleNamespace(
            blocked_seconds=0.0,
            service=Service("drafting", 0.0, 0.0, PROFILE),
            meta=SimpleNamespace(request_id="r"),
        )
        observations = EndpointObservations(built, LazyMetrics("d1"), EventLog())
        record = observations.pause_recorder(exchange)
        for _ in range(5):
            exchange.blocked_seconds += 1.9
            record("e1", 2.0, 1)
        assert not changes
        for _ in range(5):
            record("e1", 2.0, 1)
        assert changes

    asyncio.run(main())
