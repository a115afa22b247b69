"""Calls to the store that fail in ways that nobody has foreseen."""

import asyncio
import io
import random
import threading

import pytest

from cranberrywick.gateway.store_calls import StoreCalls
from cranberrywick.logs import EventLog, make_handler

# What answers of another form have raised, or may: lists in the place of objects, too
# few parts, deep nesting.
ERRORS = [AttributeError("get"), IndexError("0"), RecursionError("deep"), KeyError("k")]
ANSWER_SECONDS = 2.0


@pytest.mark.parametrize("error", ERRORS, ids=lambda error: type(error).__name__)
def test_a_call_that_fails_is_made_again(error):
    """Guards against a daemon that never reads the store again after one answer."""

    async def run():
        calls = StoreCalls(2.0, lambda: 1, EventLog(), random.Random(1))
        answers = asyncio.Queue()
        failures = [error]

        def read():
            if failures:
                raise failures.pop()
            return "view"

        calls.make("operator", read, lambda answer, at: answers.put_nowait(answer))
        async with asyncio.timeout(ANSWER_SECONDS):
            while calls.is_under_way("operator", read):
                await asyncio.sleep(0.01)
        assert calls.store_is_unavailable
        calls.make("operator", read, lambda answer, at: answers.put_nowait(answer))
        async with asyncio.timeout(ANSWER_SECONDS):
            assert await answers.get() == "view"
        assert not calls.store_is_unavailable

    asyncio.run(run())


def test_an_answer_after_the_end_of_the_loop_is_dropped():
    """Guards against an error in the log of a sound stop, for a slow store."""
    read, answers = threading.Event(), threading.Event()

    def read_slowly():
        read.set()
        answers.wait(ANSWER_SECONDS)
        return "view"

    async def run():
        calls = StoreCalls(2.0, lambda: 1, EventLog(), random.Random(1))
        calls.make("operator", read_slowly, lambda answer, at: None)
        assert await asyncio.to_thread(read.wait, ANSWER_SECONDS)
        return calls

    log = io.StringIO()
    with make_handler("info", log).applicationbound():
        calls = asyncio.run(run())
        answers.set()
        calls._actors["operator"].stop()
    assert log.getvalue() == ""
