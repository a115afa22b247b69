"""The output of log lines: nothing blocks on it, and the lines that matter come out.

Guards against a daemon that stands still as nobody reads its log, and against logs
without the lines that tell what a daemon did last.
"""

import asyncio
import os
import re
import time
from contextlib import contextmanager

from gateway_fleet import running_gateways, wait_for

from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.log_output import BoundedOutput


@contextmanager
def piped_output():
    """Yield an output that writes to a pipe, and the pipe's other end."""
    reader, writer = os.pipe()
    stream = os.fdopen(writer, "w")
    try:
        yield BoundedOutput(stream), reader
    finally:
        os.close(reader)
        # The output's thread may still wait for the pipe, so that nothing closes it.
        stream.detach()


def line(number: int, level: str = "info") -> str:
    """Return a log line of about the length of a request's."""
    return f"time=2026-12-05T10:51:21.009Z level={level} n={number} {'x' * 400}\n"


def test_the_backlog_and_dropped_lines_are_in_the_metrics():
    """Guards against lines that are missing without a figure that tells it."""

    async def render(output):
        metrics = LazyMetrics("e1")
        metrics.observe_log(lambda: output.backlog()._asdict(), output.dropped)
        return (await metrics.render()).body.decode()

    with piped_output() as (output, _):
        for number in range(8000):
            output.write(line(number))
        rendered = asyncio.run(render(output))
    values = dict(re.findall(r"^(cranberrywick_log_\S+) (\S+)$", rendered, re.M))
    assert float(values['cranberrywick_log_backlog{unit="lines"}']) > 1000
    assert float(values['cranberrywick_log_backlog{unit="characters"}']) > 400_000
    assert float(values['cranberrywick_log_backlog{unit="seconds"}']) > 0
    assert float(values['cranberrywick_log_lines_dropped_total{level="info"}']) > 1000


def test_a_gateway_tells_its_log_backlog(tmp_path):
    """Guards against figures of the log that no gateway publishes."""
    with running_gateways(tmp_path) as fleet:
        assert (
            'cranberrywick_log_backlog{unit="lines"} 0.0' in fleet.gateways[0].metrics
        )


def test_lines_that_are_written_late_are_told():
    """Guards against a log whose lag behind its daemon can't be seen."""
    with piped_output() as (output, reader):
        for number in range(200):  # More than the pipe holds.
            output.write(line(number))
        time.sleep(0.3)
        data = b""

        def read():
            nonlocal data
            data += os.read(reader, 65536)
            return b"event=log_written_late" in data

        wait_for(read, "the lag to be told")
    (seconds,) = re.findall(rb"event=log_written_late .*seconds=(\S+)", data)
    assert float(seconds) > 0.1
