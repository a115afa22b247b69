"""The output of log lines: nothing blocks on it, and the lines that matter come out.

Guards against a daemon that stands still as nobody reads its log, and against logs
without the lines that tell what a daemon did last.
"""

import asyncio
import errno
import os
import re
import select
import struct
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

from gateway_fleet import POLL_SECONDS, ROOT, running_gateways, wait_for

from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.log_output import BoundedOutput

# More lines than an output keeps and a pipe holds.
MANY_LINES = 8000
# Writes lines without ever waiting, and tells the number of the last and the processor
# time at which it was written in the file that is named.
BUSY_WRITER = """
import mmap, struct, sys, time
from cranberrywick.gateway.log_output import BoundedOutput
with open(sys.argv[1], "r+b") as file:
    shared = mmap.mmap(file.fileno(), 16)
output = BoundedOutput(sys.stdout)
number = 0
while True:
    number += 1
    now = time.process_time()
    output.write(f"level=info n={number} at={now:.6f} {'x' * 400}\\n")
    shared[:] = struct.pack("qd", number, now)
    while time.process_time() < now + 0.0002:
        pass
"""
# Processor time that the last lines of a process that is killed may be from, in
# seconds: some turns of a thread, which each come after 5 ms at most.
LOST_SECONDS = 0.05


# Outputs whose threads may still wait for a pipe, so that nothing closes it.
_OUTPUTS: list[BoundedOutput] = []


@contextmanager
def piped_output():
    """Yield an output that writes to a pipe, and the pipe's two ends."""
    reader, writer = os.pipe()
    output = BoundedOutput(os.fdopen(writer, "w"))
    _OUTPUTS.append(output)
    try:
        yield output, reader, writer
    finally:
        os.close(reader)


def line(number: int, level: str = "info") -> str:
    """Return a log line of about the length of a request's."""
    return f"time=2026-12-05T10:51:21.009Z level={level} n={number} {'x' * 400}\n"


def read_lines(reader: int, last: bytes) -> list[bytes]:
    """Read whole lines from a pipe until one holds ``last``."""
    data = b""

    def read():
        nonlocal data
        if select.select([reader], [], [], POLL_SECONDS)[0]:
            data += os.read(reader, 65536)
        return last in data and data.endswith(b"\n")

    wait_for(read, f"a line with {last}")
    return data.splitlines()


def numbers(lines: list[bytes], level: str = "info") -> list[int]:
    """Return the numbers of the lines of one level that `line` has made."""
    pattern = rb"level=%s n=(\d+) x{400}$" % level.encode()
    return [int(found[1]) for each in lines if (found := re.search(pattern, each))]


def test_the_backlog_and_dropped_lines_are_in_the_metrics():
    """Guards against lines that are missing without a figure that tells it."""

    async def render(output):
        metrics = LazyMetrics("e1")
        metrics.observe_log(output)
        return (await metrics.render()).body.decode()

    with piped_output() as (output, _, _):
        for number in range(MANY_LINES):
            output.write(line(number))
        rendered = asyncio.run(render(output))
    values = dict(re.findall(r"^(cranberrywick_log_\S+) (\S+)$", rendered, re.M))
    assert float(values['cranberrywick_log_backlog{unit="lines"}']) > 1000
    assert float(values['cranberrywick_log_backlog{unit="bytes"}']) > 400_000
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
    with piped_output() as (output, reader, _):
        for number in range(200):  # More than the pipe holds.
            output.write(line(number))
        time.sleep(0.3)
        lines = read_lines(reader, b"event=log_written_late")
    text = b"\n".join(lines)
    (seconds,) = re.findall(rb"event=log_written_late .*seconds=(\S+)", text)
    assert float(seconds) > 0.1


def test_the_last_lines_are_kept_if_nobody_reads():
    """Guards against logs without the end, as the newest lines are dropped."""
    with piped_output() as (output, reader, _):
        for number in range(MANY_LINES):
            output.write(line(number))
        lines = read_lines(reader, b"n=%d " % (MANY_LINES - 1))
        found = numbers(lines)
        assert found == sorted(found) and found[0] == 0
        assert len(found) < MANY_LINES
        assert output.wait_written(5.0)


def test_warnings_are_kept_before_other_lines():
    """Guards against warnings that are dropped for lines of normal operation."""
    with piped_output() as (output, reader, _):
        output.write(line(0, "warning"))
        output.write(line(0, "error"))
        for number in range(MANY_LINES):
            output.write(line(number))
        for number in range(1, 200):
            output.write(line(number, "warning"))
        for number in range(MANY_LINES, 2 * MANY_LINES):
            output.write(line(number))
        lines = read_lines(reader, b"n=%d " % (2 * MANY_LINES - 1))
    assert numbers(lines, "warning") == list(range(200))
    assert numbers(lines, "error") == [0]


def test_dropped_lines_are_counted_by_level():
    """Guards against gaps in a log of which nobody can tell what is missing."""
    with piped_output() as (output, reader, _):
        for number in range(MANY_LINES):
            output.write(line(number))
        for number in range(MANY_LINES):
            output.write(line(number, "warning"))
        lines = read_lines(reader, b"n=%d " % (MANY_LINES - 1))
        while output.backlog().lines:
            lines += read_lines(reader, b"\n")
        output.write(line(MANY_LINES))
        lines += read_lines(reader, b"n=%d " % MANY_LINES)
    for level, written in (("info", MANY_LINES + 1), ("warning", MANY_LINES)):
        told = sum(
            int(count)
            for each in lines
            if b"event=log_lines_dropped" in each
            for count in re.findall(rb" %s=(\d+)" % level.encode(), each)
        )
        assert told == written - len(numbers(lines, level))
        assert told == output.dropped()[level] > 0


def test_an_output_that_is_full_for_a_moment_goes_on():
    """Guards against a log that ends as another process makes the pipe non-blocking."""
    with piped_output() as (output, reader, writer):
        os.set_blocking(writer, False)
        for number in range(300):  # More than the pipe holds.
            output.write(line(number))
        time.sleep(0.2)
        assert numbers(read_lines(reader, b"n=299 ")) == list(range(300))


def test_a_reader_that_comes_back_gets_the_log(tmp_path):
    """Guards against a log that ends for good as its reader is started again."""
    path = tmp_path / "log"
    os.mkfifo(path)
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    with path.open("w") as stream:
        output = BoundedOutput(stream)
        output.write(line(1))
        assert output.wait_written(5.0)
        os.close(reader)
        output.write(line(2))
        time.sleep(0.2)
        reader = os.open(path, os.O_RDONLY)
        output.write(line(3))
        assert numbers(read_lines(reader, b"n=3 "))[-1] == 3
        os.close(reader)


def test_a_short_write_leaves_no_line_torn(monkeypatch):
    """Guards against lines of which a part is missing, on a disk without room."""
    written = []
    write_really = os.write
    rooms = [100, OSError(errno.ENOSPC, "no space"), 100_000, 100_000]

    def write(descriptor, data):
        if descriptor != writer:
            return write_really(descriptor, data)
        room = rooms.pop(0)
        if isinstance(room, OSError):
            raise room
        written.append(bytes(data[:room]))
        return len(written[-1])

    with piped_output() as (output, _, writer):
        monkeypatch.setattr(os, "write", write)
        output.write(line(1))
        wait_for(lambda: len(rooms) < 3, "the failure")
        output.write(line(2))
        assert output.wait_written(5.0)
        monkeypatch.undo()
    log = b"".join(written)
    assert numbers(log.splitlines()) == [1, 2]
    assert b'event=log_output_failed error="OSError: [Errno 28] no space"' in log


def test_waiting_includes_lines_that_came_meanwhile(tmp_path):
    """Guards against an end that is early, since a line came as another was written."""
    with (tmp_path / "log").open("w") as stream:
        output = BoundedOutput(stream)
        size = 0
        for number in range(3000):
            size += output.write(line(number))
            time.sleep(number % 50 / 1e6)
            size += output.write(line(number))
            assert output.wait_written(5.0)
            assert os.fstat(stream.fileno()).st_size == size


def test_a_killed_process_has_written_all_but_its_last_milliseconds(tmp_path):
    """Guards against seconds of the log that are lost as a busy process is killed."""
    shared, log = tmp_path / "shared", tmp_path / "log"
    for _ in range(3):
        shared.write_bytes(bytes(16))
        with log.open("w") as file:
            process = subprocess.Popen(
                [sys.executable, "-c", BUSY_WRITER, str(shared)], cwd=ROOT, stdout=file
            )
        try:
            wait_for(lambda: told_by(shared)[1] > 1.5, "lines of some time")
        finally:
            process.kill()
            process.wait()
        *_, (number, at) = re.findall(r"n=(\d+) at=(\S+) x{400}\n", log.read_text())
        assert told_by(shared)[1] - float(at) < LOST_SECONDS


def told_by(shared: Path) -> tuple[int, float]:
    """Return what `BUSY_WRITER` tells."""
    return struct.unpack("qd", shared.read_bytes())
