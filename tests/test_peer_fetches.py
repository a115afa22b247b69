"""Fetches of snapshots from peers, also while many daemons fetch at once."""

import asyncio

from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.messages import (
    EndpointSnapshotRequest,
    OperatorSnapshotRequest,
)
from cranberrywick.gateway.peer_fetches import MAX_TRIES, PeerFetches
from cranberrywick.logs import EventLog

FETCH_SECONDS = 0.02
MAX_SERVED = 8


class Link:
    """Answers with what ``answers`` holds for each peer; records the requests."""

    def __init__(self, answers):
        self.answers = answers
        self.requests = []

    async def fetch(self, address, request):
        self.requests.append((address, type(request)))
        await asyncio.sleep(FETCH_SECONDS)
        return self.answers.get(address)


def fetches_of(link):
    return PeerFetches(lambda: link, EventLog())


def test_a_busy_peer_is_followed_by_another_try():
    """Guards against daemons that miss a change until the next one is announced."""
    applied = []

    async def scene():
        link = Link({"free": "reading"})
        peers = iter([["busy"], ["busy"], ["free"]])
        fetches_of(link).begin(
            OperatorSnapshotRequest(),
            lambda: next(peers),
            lambda *answer: applied.append(answer),
        )
        await asyncio.sleep(1.0)

    run_in_virtual_time(scene())
    assert [answer[:2] for answer in applied] == [("reading", "free")]


def test_at_most_one_fetch_of_a_kind_is_under_way():
    """Guards against a fetch for each heartbeat that announces the same change."""

    async def scene():
        link = Link({"a": "reading"})
        fetches = fetches_of(link)
        for request in (
            OperatorSnapshotRequest(),
            OperatorSnapshotRequest(),
            EndpointSnapshotRequest(),
        ):
            fetches.begin(request, lambda: ["a"], lambda *answer: None)
        await asyncio.sleep(FETCH_SECONDS / 2)
        assert link.requests == [
            ("a", OperatorSnapshotRequest),
            ("a", EndpointSnapshotRequest),
        ]
        await asyncio.sleep(1.0)
        fetches.begin(OperatorSnapshotRequest(), lambda: ["a"], lambda *answer: None)
        await asyncio.sleep(1.0)
        assert len(link.requests) == 3

    run_in_virtual_time(scene())


def test_an_invalid_answer_is_followed_by_another_try():
    """Guards against daemons that lag behind because of one peer's invalid answer."""
    applied = []

    def take(snapshot, address, requested_at):
        if snapshot == "broken":
            raise PeerMessageInvalid("malformed records")
        applied.append(address)

    async def scene():
        link = Link({"a": "broken", "b": "reading"})
        peers = iter([["a"], ["b"]])
        fetches_of(link).begin(EndpointSnapshotRequest(), lambda: next(peers), take)
        await asyncio.sleep(1.0)

    run_in_virtual_time(scene())
    assert applied == ["b"]


def test_a_fetch_ends_after_the_largest_number_of_tries():
    async def scene():
        link = Link({})
        fetches_of(link).begin(
            OperatorSnapshotRequest(), lambda: ["a"], lambda *answer: None
        )
        await asyncio.sleep(10.0)
        assert len(link.requests) == MAX_TRIES

    run_in_virtual_time(scene())


def test_three_hundred_daemons_have_a_change_within_a_second():
    """Guards against a configuration that reaches the last of a large fleet too late.

    One daemon has it at first. Each daemon that has it serves eight others at a time.
    """
    daemons = [f"d{number}" for number in range(300)]
    informed = {"d0": 0.0}
    served = dict.fromkeys(daemons, 0)

    class SharedLink:
        async def fetch(self, address, request):
            if served[address] >= MAX_SERVED:
                await asyncio.sleep(0.002)
                return None
            served[address] += 1
            await asyncio.sleep(FETCH_SECONDS)
            served[address] -= 1
            return "reading"

    async def scene():
        loop = asyncio.get_running_loop()
        started = loop.time()

        def receive(name, fetches):
            """Fetch on each heartbeat that announces the change, every 50 ms."""
            if name in informed:
                return
            fetches.begin(
                OperatorSnapshotRequest(),
                lambda: list(informed),
                lambda *answer: informed.setdefault(name, loop.time() - started),
            )
            loop.call_later(0.05, receive, name, fetches)

        for name in daemons[1:]:
            receive(name, PeerFetches(SharedLink, EventLog()))
        await asyncio.sleep(3.0)
        assert len(informed) == len(daemons)
        assert max(informed.values()) < 1.0

    run_in_virtual_time(scene())
