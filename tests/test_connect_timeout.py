"""The connect timeout follows the usual duration of connections."""

import asyncio
import contextlib
import random
import socket
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.errors import EndpointRefused
from cranberrywick.gateway.upstream import EndpointConnection
from cranberrywick.routing.connect_timeout import (
    MAX_SECONDS,
    MIN_SECONDS,
    ConnectTimeout,
    is_own_delay,
)


def after(connections):
    timeout = ConnectTimeout()
    for seconds in connections:
        timeout.answered(seconds)
    return timeout


def test_an_unreachable_endpoint_costs_a_fraction_of_a_short_target():
    """Guards against requests that are late after trying one unreachable endpoint.

    A plain call takes 60 ms and its target is 300 ms.
    """
    rng = random.Random(1)
    usual = after(rng.uniform(0.002, 0.006) for _ in range(20))
    assert usual.seconds + 0.06 < 0.3 / 2


def test_a_busy_vm_waits_longer():
    """Guards against treating endpoints as unreachable because their caller is slow."""
    rng = random.Random(2)
    waits = [rng.uniform(0.01, 0.06) for _ in range(500)]
    timeout = ConnectTimeout()
    failed = 0
    for seconds in waits:
        failed += seconds > timeout.seconds
        timeout.answered(seconds)
    assert failed <= len(waits) / 100


def test_a_daemon_that_was_held_up_blames_no_endpoint():
    """Guards against cooldowns of healthy endpoints after a pause of the daemon."""
    assert is_own_delay(0.2, allowed=0.05)
    assert not is_own_delay(0.052, allowed=0.05)


def test_timeouts_in_a_row_wait_longer():
    """Guards against a timeout that fails every connection and is never corrected."""
    timeout = after([0.004] * 20)
    waits = []
    for _ in range(4):
        waits.append(timeout.seconds)
        timeout.timed_out()
    assert waits == sorted(waits)
    assert timeout.seconds == MAX_SECONDS
    timeout.answered(0.004)
    assert timeout.seconds == waits[0]


@given(st.lists(st.one_of(st.none(), st.floats(0.0, 10.0))))
def test_it_stays_within_its_bounds(outcomes):
    timeout = ConnectTimeout()
    for seconds in outcomes:
        if seconds is None:
            timeout.timed_out()
        else:
            timeout.answered(seconds)
        assert MIN_SECONDS <= timeout.seconds <= MAX_SECONDS


@contextlib.contextmanager
def listening(backlog):
    """Yield a socket whose connections only the kernel accepts."""
    with socket.socket() as endpoint:
        endpoint.bind(("127.0.0.1", 0))
        endpoint.listen(backlog)
        yield endpoint


async def open_while_held_up(endpoint, held_up):
    """Open a connection, with a timeout of 50 ms, while the loop does nothing else."""
    host, port = endpoint.getsockname()
    async with EndpointConnection(f"{host}:{port}") as connection:
        opening = asyncio.create_task(connection.open(0.05))
        await asyncio.sleep(0)  # It has begun to connect.
        time.sleep(held_up)
        await opening


@pytest.mark.parametrize("held_up", [0.06, 0.2, 1.0])
def test_a_connection_accepted_while_the_loop_is_held_up_is_used(held_up):
    """Guards against endpoints that count as unreached while the loop is late."""
    with listening(8) as endpoint:
        asyncio.run(open_while_held_up(endpoint, held_up))


def test_a_connection_that_nobody_accepts_fails_also_while_the_loop_is_held_up():
    """Guards against connections that count as open since the loop is late."""
    with listening(0) as endpoint, contextlib.ExitStack() as stack:
        for _ in range(4):  # The kernel accepts no more.
            caller = stack.enter_context(socket.socket())
            caller.setblocking(False)
            caller.connect_ex(endpoint.getsockname())
        with pytest.raises(EndpointRefused):
            asyncio.run(open_while_held_up(endpoint, 0.2))
