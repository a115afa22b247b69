"""Calls to the store that fail in ways that nobody has foreseen."""

import asyncio
import random

import pytest

from cranberrywick.gateway.store_calls import StoreCalls
from cranberrywick.logs import EventLog

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
