"""Callers that read long answers slowly, beside others of the same endpoint.

Guards against the time that a caller takes to read counting as its endpoint's.
"""

import threading
import time
from contextlib import contextmanager

import pytest
from gateway_fleet import request_bytes, wait_for
from stopping_fleet import DEADLINE, GRACE_SECONDS, running_stopping_fleet
from stream_stops import stream_headers

# Longer than what the kernel and the gateway's connection take at once, in bytes. The
# second is longer than what the gateway keeps of one answer.
LONG_BYTES = (7_500_000, 12_000_000)
RECEIVE_BYTES = 65_536
# How fast the caller reads: in bytes and seconds a read.
READ_BYTES, READ_SECONDS = 8192, 0.08
# For how long it has read before others come, in seconds.
READ_BEFORE_SECONDS = 4.0
SENT_CALLS, SEND_SECONDS = 20, 0.15


@contextmanager
def slow_reader(fleet, target, headers):
    """Send a request and read its answer slowly, until the end of the block."""
    is_over = threading.Event()
    connection = fleet.connect(fleet.gateways[0], RECEIVE_BYTES)
    request_id = fleet.new_id()

    def read():
        while not is_over.wait(READ_SECONDS) and connection.recv(READ_BYTES):
            pass
        connection.close()

    method = "GET" if target.startswith("/reads/") else "POST"
    fields = {**DEADLINE, **headers}
    connection.sendall(request_bytes(method, target, b"", fields, request_id))
    thread = threading.Thread(target=read)
    thread.start()
    try:
        wait_for(lambda: fleet.runs(request_id) == 1, "the run")
        time.sleep(READ_BEFORE_SECONDS)
        yield
    finally:
        is_over.set()
        thread.join()


@pytest.fixture(params=LONG_BYTES)
def padding(request):
    """The header that asks for a long answer."""
    return {"X-Padding": str(request.param)}


def test_calls_are_served_at_a_stop_beside_one_that_is_read_slowly(tmp_path, padding):
    """Guards against calls that are expected to take as long as another's reader."""
    with running_stopping_fleet(tmp_path, slots=8) as fleet:
        (gateway,) = fleet.gateways
        fleet.endpoints["desk-1"].work_seconds = 0.05
        with slow_reader(fleet, "/reads/9", padding):
            signalled_at = fleet.stop(gateway)
            calls = []
            for number in range(SENT_CALLS):
                at = signalled_at + number * SEND_SECONDS
                time.sleep(max(0.0, at - time.monotonic()))
                calls.append(fleet.send(gateway, "GET", "/reads/1"))
            statuses = [call.answer().status for call in calls]
            assert statuses == [200] * SENT_CALLS
            assert gateway.process.wait(GRACE_SECONDS) == 0
        assert "event=endpoint_pace_changed" not in gateway.log


def test_an_endpoint_that_has_answered_is_free_though_its_answer_is_not_read(tmp_path):
    """Guards against a slot that stays taken until a slow caller has read."""
    with running_stopping_fleet(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        fleet.endpoints["desk-1"].work_seconds = 0.05
        with slow_reader(fleet, "/reads/9", {"X-Padding": str(LONG_BYTES[0])}):
            began = time.monotonic()
            assert fleet.send(gateway, "GET", "/reads/1").answer().status == 200
            assert time.monotonic() - began < 1.0


def test_a_stream_that_is_read_slowly_leaves_its_engine_fast(tmp_path):
    """Guards against an engine that counts as slow since a caller reads slowly."""
    with running_stopping_fleet(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        fleet.endpoints["engine-1"].work_seconds = 0.05
        headers = {**stream_headers(60), "X-Padding": "200000"}
        with slow_reader(fleet, "/prompts/9", headers):
            time.sleep(8.0)
        assert "event=endpoint_pace_changed" not in gateway.log
