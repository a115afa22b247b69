"""Endpoints whose answers never end, and the turns of a gateway's event loop.

Guards against a gateway that reads so much of such answers at a time that everything
else which it serves is late. The endpoints and their callers are processes of their
own, so that nothing but the gateway holds up the sound requests.
"""

import asyncio
import json
import subprocess
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import pytest
import urllib3
from gateway_fleet import (
    PROMPT_HEADERS,
    configuration,
    read_answer,
    request_bytes,
    route,
    running_gateways,
    wait_for,
)

from cranberrywick.gateway.read_turns import ReadAllowance, ReadTurns
from cranberrywick.gateway.upstream import READ_BYTES, EndpointConnection
from cranberrywick.routing.answer_limits import (
    BYTES_PER_TURN,
    FREE_READ_BYTES,
    FREE_READ_RATE,
)
from cranberrywick.standin.platform.demo import ENGINE

TESTS = Path(__file__).resolve().parent
# Streams and calls of services all of whose endpoints are endless.
ENDLESS_PREFIXES = ("floods", "spills")
ENDPOINTS, ENDLESS_CALLERS, SOUND_CALLERS = 4, 80, 4
# By then gateways know of new endpoints, in seconds.
KNOWN_SECONDS = 1.0
USUAL_SECONDS, PLAY_SECONDS = 2.0, 6.5
# The slowest sound answer beside endless ones: seconds, or times the slowest usual one.
MAX_SECONDS, MAX_SLOWER = 0.5, 2.0
DEADLINE_SECONDS, MAX_LATE_SECONDS = 5.0, 0.25
PROBE_SECONDS = 0.02
LONG_ANSWERS = 20


class Played(NamedTuple):
    """The slowest sound request and the slowest probe, in seconds."""

    slowest: float
    probe: float


class AddressOnly(NamedTuple):
    """An endpoint of another process."""

    address: str

    def stop(self):
        pass


@contextmanager
def script(name, *arguments):
    """Run a script of this folder; kill it at the end."""
    process = subprocess.Popen(
        [sys.executable, TESTS / name, *map(str, arguments)], stdout=subprocess.PIPE
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def call(fleet, prefix):
    """Send a request, check that its answer is sound and whole; return its seconds."""
    began_at = time.monotonic()
    with fleet.connect(fleet.gateways[0]) as connection:
        fields = PROMPT_HEADERS if prefix == "prompts" else {}
        data = request_bytes("POST", f"/{prefix}/1", b"", fields, fleet.new_id())
        connection.sendall(data)
        answer = read_answer(connection)
    assert answer.status == 200 and answer.whole
    return time.monotonic() - began_at


def probe(fleet, until):
    """Ask whether the gateway is ready, again and again; return the slowest answer."""
    slowest = 0.0
    url = f"http://{fleet.gateways[0].ready}/ready"
    with urllib3.PoolManager() as pool:
        while time.monotonic() < until:
            began_at = time.monotonic()
            assert pool.request("GET", url, retries=False).status == 200
            slowest = max(slowest, time.monotonic() - began_at)
            time.sleep(PROBE_SECONDS)
    return slowest


def play_sound(fleet, seconds):
    """Send sound requests by some callers beside one another."""
    until = time.monotonic() + seconds

    def run(number):
        prefix = ("reads", "prompts")[number % 2]
        slowest = 0.0
        while time.monotonic() < until:
            slowest = max(slowest, call(fleet, prefix))
        return slowest

    with ThreadPoolExecutor(SOUND_CALLERS + 1) as pool:
        probed = pool.submit(probe, fleet, until)
        slowest = max(pool.map(run, range(SOUND_CALLERS)))
        return Played(slowest, probed.result())


def add_endless_services(fleet, addresses):
    """Configure routes to endpoints that are all endless."""
    usual = configuration()
    stream = {"streamResume": True, "gapAimMs": 250, "stickySessions": True}
    routes = [
        route("floods", "streaming", "flood", **stream),
        route("spills", "safe", "spill"),
    ]
    services = [
        {"name": "flood", "coldStartS": 0, "coldPerS": 0, "engine": ENGINE},
        {"name": "spill", "coldStartS": 0, "coldPerS": 0},
    ]
    fleet.configure(
        configuration(
            version=2,
            routes=usual["routes"] + routes,
            services=usual["services"] + services,
        )
    )
    for gateway in fleet.gateways:
        wait_for(lambda g=gateway: "version=2" in g.log, "the routes")
    for number, address in enumerate(addresses):
        name = f"endless-{number}"
        fleet.endpoints[name] = AddressOnly(address)
        fleet.register(name, ("flood", "spill")[number % 2], slots=ENDLESS_CALLERS)
    time.sleep(KNOWN_SECONDS)


def check_beside_endless(fleet, form):
    """Compare sound requests alone with those beside endless answers."""
    with script("endless_endpoints.py", form, 2 * ENDPOINTS) as endpoints:
        add_endless_services(fleet, endpoints.stdout.readline().decode().split())
        usual = play_sound(fleet, USUAL_SECONDS)
        front = fleet.gateways[0].front
        arguments = (front, PLAY_SECONDS, ENDLESS_CALLERS, *ENDLESS_PREFIXES)
        with script("endless_callers.py", *arguments) as callers:
            beside = play_sound(fleet, PLAY_SECONDS)
            outcomes = json.loads(callers.communicate()[0])
    latest = max(seconds for _, seconds in outcomes)
    statuses = Counter(status for status, _ in outcomes)
    report = f"{form}: {usual=} {beside=} {latest=:.2f} {statuses=}"
    print(report)
    assert beside.slowest < max(MAX_SLOWER * usual.slowest, MAX_SECONDS), report
    assert beside.probe < max(MAX_SLOWER * usual.probe, MAX_SECONDS), report
    assert latest < DEADLINE_SECONDS + MAX_LATE_SECONDS, report


@pytest.mark.parametrize(
    "form",
    [
        *("chunked", "unframed", "one_event", "comments", "tiny_chunks"),
        *("empty_events", "empty_ids", "short_events"),
    ],
)
def test_endless_answers_hold_up_neither_others_nor_deadlines(tmp_path, form):
    """Guards against a loop that reads many endless answers in each of its turns."""
    with running_gateways(tmp_path) as fleet:
        check_beside_endless(fleet, form)


def test_a_turn_of_the_loop_has_time_for_one_long_answer():
    """Guards against turns in which each of many long answers is read."""
    read_bytes = passed = 0

    async def serve(reader, writer):
        try:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                writer.write(bytes(READ_BYTES))
                await writer.drain()
        except ConnectionError:
            pass  # The test has closed the connection.

    async def read(address, turns):
        nonlocal read_bytes
        async with EndpointConnection(address, turns=turns) as connection:
            await connection.open(timeout=5.0)
            await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
            await connection.read_head()
            async for part in connection.body():
                read_bytes += len(part)

    async def count_turns():
        nonlocal passed
        while True:
            await asyncio.sleep(0)
            passed += 1

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        turns = ReadTurns()
        reads = [read(f"{host}:{port}", turns) for _ in range(LONG_ANSWERS)]
        tasks = [asyncio.create_task(each) for each in (*reads, count_turns())]
        done, _ = await asyncio.wait(tasks, timeout=1.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        server.close()
        return done

    assert not asyncio.run(main())
    at_once = LONG_ANSWERS * (FREE_READ_BYTES + FREE_READ_RATE + BYTES_PER_TURN)
    assert at_once < read_bytes <= at_once + passed * BYTES_PER_TURN


def test_a_cancelled_reader_keeps_no_turn_from_others():
    """Guards against answers that wait for the turn of one that is given up."""

    async def main():
        turns = ReadTurns()
        tasks = [asyncio.create_task(turns.wait()) for _ in range(4)]
        await asyncio.sleep(0)
        tasks[0].cancel()
        tasks[2].cancel()
        async with asyncio.timeout(5.0):
            await asyncio.gather(*tasks, return_exceptions=True)
            await turns.wait()
        return [task.cancelled() for task in tasks]

    assert asyncio.run(main()) == [True, False, True, False]


def test_a_deadline_ends_an_answer_that_is_always_ready():
    """Guards against deadlines that wait for an answer of which more has come."""

    async def main():
        turns = ReadTurns()
        reader = asyncio.StreamReader()

        async def take():
            while True:
                reader.feed_data(bytes(READ_BYTES))
                await reader.read(READ_BYTES)
                await allowance.take(READ_BYTES)

        allowance = ReadAllowance(turns)
        began_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await take()
        return time.monotonic() - began_at

    assert asyncio.run(main()) < 0.2 + MAX_LATE_SECONDS


def test_a_sound_answer_waits_for_no_turn():
    """Guards against streams with a few kB a second that wait behind long answers."""

    async def main():
        turns = ReadTurns()
        allowance = ReadAllowance(turns)
        others = [asyncio.create_task(turns.wait()) for _ in range(1_000)]
        await asyncio.sleep(0)
        for _ in range(60):
            await allowance.take(1_000)
        assert not any(other.done() for other in others[2:])
        for other in others:
            other.cancel()

    asyncio.run(main())


def test_long_answers_are_read_one_after_the_other_as_fast_as_they_come():
    """Guards against a bound by time on answers that are long and sound."""
    size = 50_000_000

    async def serve(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // 50_000):
            writer.write(bytes(50_000))
            await writer.drain()
        writer.close()

    async def read(address, turns):
        async with EndpointConnection(address, turns=turns) as connection:
            await connection.open(timeout=5.0)
            await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
            await connection.read_head()
            return sum([len(part) async for part in connection.body()])

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        turns = ReadTurns()
        async with asyncio.timeout(DEADLINE_SECONDS):
            reads = [read(f"{host}:{port}", turns) for _ in range(4)]
            received = await asyncio.gather(*reads)
        server.close()
        return received

    assert asyncio.run(main()) == [size] * 4
