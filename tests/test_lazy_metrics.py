"""Tests for metrics whose library is loaded when they are first read.

Guards against slow starts, lost measurements and unbounded memory.
"""

import asyncio
import subprocess
import sys

from cranberrywick.gateway.lazy_metrics import MAX_PENDING, LazyMetrics


def test_a_start_does_not_load_the_metrics_library():
    """Guards against slower starts.

    After a power cut all daemons start at once, and callers wait for the first.
    """
    code = (
        "import sys, cranberrywick.gateway.app; "
        "print(any(name.startswith('opentelemetry') for name in sys.modules))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "False"


def test_the_first_rendering_has_what_was_recorded_before_it():
    async def main():
        metrics = LazyMetrics("e1")
        metrics.request_ended("grants", "completed", 0.5)
        metrics.first_token("grants", 5000, 0.2)
        metrics.queue_wait("grants", 0.01)
        first = await metrics.render()
        metrics.request_ended("grants", "completed", 0.5)
        return first, await metrics.render()

    first, second = asyncio.run(main())
    assert first.content_type.startswith("text/plain")
    assert requests_in(first) == 1
    assert requests_in(second) == 2


def test_measurements_that_are_never_read_are_bounded():
    """Guards against memory that grows with requests while metrics are not read."""

    async def main():
        metrics = LazyMetrics("e1")
        for _ in range(MAX_PENDING):
            metrics.queue_wait("grants", 0.01)
        async with asyncio.timeout(30):
            while metrics._pending:
                await asyncio.sleep(0.01)
        return await metrics.render()

    rendered = asyncio.run(main())
    assert f'queue_wait_seconds_count{{class="grants"}} {MAX_PENDING}'.encode() in (
        rendered.body.replace(b".0\n", b"\n")
    )


def test_a_reader_that_leaves_lets_others_read():
    """Guards against metrics that nobody gets any more once a reader has left."""

    async def main():
        metrics = LazyMetrics("e1")
        metrics.request_ended("grants", "completed", 0.5)
        reader = asyncio.create_task(metrics.render())
        await asyncio.sleep(0)
        reader.cancel()
        await asyncio.wait([reader])
        return await metrics.render(), metrics._pending

    rendered, pending = asyncio.run(main())
    assert requests_in(rendered) == 1
    assert not pending


def test_a_measurement_that_fails_ends_neither_request_nor_reading(monkeypatch):
    """Guards against a request that fails since something of it can't be counted."""

    def fail(self, class_name, outcome, seconds):
        raise RuntimeError("request_ended fails")

    async def main():
        failures = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        monkeypatch.setattr("cranberrywick.metrics.Metrics.request_ended", fail)
        metrics = LazyMetrics("e1")
        metrics.request_ended("grants", "completed", 0.5)
        await metrics.render()
        metrics.request_ended("grants", "completed", 0.5)
        return failures

    assert len(asyncio.run(main())) == 2


def requests_in(rendered):
    for line in rendered.body.decode().splitlines():
        if line.startswith("cranberrywick_requests_total{"):
            return float(line.rpartition(" ")[2])
    return 0
