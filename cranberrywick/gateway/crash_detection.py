"""Detection of endpoints that crash while they answer requests.

An answer that breaks off doesn't show whether its endpoint is gone or has only failed
this one request. The daemon connects once more: where nothing listens any more, the
process has ended.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from math import inf

from cranberrywick.addresses import parse_address
from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    CranberrywickError,
    EndpointFailed,
)
from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.state import FleetState
from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.crash_statement import (
    EndpointCrash,
    LostRequest,
    merge_lost,
)
from cranberrywick.routing.registry import TrackedEndpoint
from cranberrywick.routing.request_traits import RequestTraits

__all__ = ["CrashDetection", "refuses_connections"]

# Longest time for the connection that shows whether an endpoint is gone, in seconds,
# and how long the next attempt of a request waits for it. A VM that is there accepts or
# refuses a connection within milliseconds.
CONNECT_SECONDS = 0.1
ATTEMPT_WAIT_SECONDS = 0.03
# Pause before it is tried once more, in seconds: a process that ends may close the
# connections that it has accepted before it stops listening.
SECOND_LOOK_SECONDS = 0.05
# Number of parts in which events have come after which an answer has begun well. An
# endpoint that a prompt crashes does so within the first ones.
BEGINNING_BATCHES = 5
# Largest number of lines about what was lost at one crash.
MAX_LOGGED = 16
# Least time between two looks at an endpoint whose answers end with their connections,
# in seconds, and largest number of endpoints for which it is kept.
WATCH_INTERVAL_SECONDS = 1.0
MAX_WATCHED = 4096

_Start = tuple[str, int]


class _Check:
    """A look at an endpoint, for the requests that were lost there at that moment.

    ``survivors`` were answered, if the endpoint is still there: their traits, and
    whether in whole.
    """

    def __init__(self, at: float):
        self.at = at
        self.lost_by_request: dict[str, LostRequest] = {}
        self.survivors: list[tuple[RequestTraits, bool]] = []
        self.looked = asyncio.Event()
        self.ended = asyncio.Event()


class CrashDetection:
    """Finds out whether endpoints have crashed under requests, and records it.

    ``is_gone`` returns whether nothing listens at an address.
    """

    def __init__(
        self,
        state: FleetState,
        metrics: LazyMetrics,
        log: EventLog,
        is_gone: Callable[[str], Awaitable[bool]] | None = None,
    ):
        self._state = state
        self._metrics = metrics
        self._log = log
        self._is_gone = is_gone or refuses_connections
        self._loop = asyncio.get_running_loop()
        self._checks_by_start: dict[_Start, _Check] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # When the end of an answer that states none is looked at again.
        self._next_watch_by_id: dict[str, float] = {}

    def record_events(self, exchange: Exchange) -> None:
        """Record an answer that has begun well: its prompt crashes no endpoint."""
        if exchange.event_batches == BEGINNING_BATCHES:
            self._answered(exchange.traits, is_whole=False)

    def record_end(self, exchange: Exchange) -> None:
        """Record that a request was answered in whole.

        An answer that has ended with its connection shows that only if its endpoint is
        still there: it may have crashed.
        """
        if not 200 <= exchange.status < 300:
            return
        if exchange.answer_is_framed:
            self._answered(exchange.traits, _is_whole(exchange))
            return
        now = self._loop.time()
        if now < self._next_watch_by_id.get(exchange.endpoint_id, -inf):
            return
        if len(self._next_watch_by_id) >= MAX_WATCHED:
            self._next_watch_by_id.clear()
        self._next_watch_by_id[exchange.endpoint_id] = now + WATCH_INTERVAL_SECONDS
        check = self._check(exchange)
        if check is not None:
            check.survivors.append((exchange.traits, _is_whole(exchange)))

    def _answered(self, traits: RequestTraits, is_whole: bool) -> None:
        self._state.peer_updates.crashes.answered(traits, is_whole)

    async def check(self, exchange: Exchange, error: CranberrywickError) -> None:
        """Find out whether a failed attempt's endpoint has crashed.

        Returns after the first look, within `ATTEMPT_WAIT_SECONDS`; for a request that
        was lost before, when the result is known.
        """
        if not _may_show_crash(error):
            return
        check = self._check(exchange)
        if check is None:
            return
        if len(exchange.lost_starts) > 1:
            await check.ended.wait()
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(ATTEMPT_WAIT_SECONDS):
                await check.looked.wait()

    def _check(self, exchange: Exchange) -> _Check | None:
        """Look at the endpoint of an attempt; return None if it may stop anyway."""
        start = exchange.endpoint_id, exchange.endpoint_born
        tracked = self._state.registry.tracked_by_id.get(exchange.endpoint_id)
        if tracked is None or self._is_draining(tracked, exchange.endpoint_born):
            return None
        now = self._loop.time()
        check = self._checks_by_start.get(start)
        if check is None:
            check = self._checks_by_start[start] = _Check(now)
            look = self._look(start, check, tracked.record.address)
            task = self._loop.create_task(look)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        traits = exchange.traits
        has_begun_well = exchange.event_batches >= BEGINNING_BATCHES
        check.lost_by_request[exchange.meta.request_id] = LostRequest(
            # What only the prompt's beginning can crash has been survived.
            (traits.content,) if has_begun_well else traits.all,
            exchange.sent_for(now) or 0.0,
            is_trial=self._state.peer_updates.crashes.is_trial(exchange.key),
        )
        return check

    def _is_draining(self, tracked: TrackedEndpoint, born: int) -> bool:
        """Whether a start of an endpoint was about to stop anyway."""
        notices = self._state.peer_updates.drain_notices
        announced_at = notices.announced_at(tracked.endpoint_id, born)
        return tracked.record.draining or announced_at is not None

    async def _look(self, start: _Start, check: _Check, address: str) -> None:
        try:
            has_ended = await self._has_ended(start, address)
            if not has_ended:
                check.looked.set()
                await asyncio.sleep(SECOND_LOOK_SECONDS)
                has_ended = await self._has_ended(start, address)
            if has_ended:
                self._record(start, check)
            else:
                for traits, is_whole in check.survivors:
                    self._answered(traits, is_whole)
        finally:
            del self._checks_by_start[start]
            check.looked.set()
            check.ended.set()

    async def _has_ended(self, start: _Start, address: str) -> bool:
        endpoint_id, born = start
        if self._state.peer_updates.crashes.has_crashed(endpoint_id, born):
            return True
        tracked = self._state.registry.tracked_by_id.get(endpoint_id)
        if tracked is not None and tracked.record.born > born:
            return True
        return await self._is_gone(address)

    def _record(self, start: _Start, check: _Check) -> None:
        by_traits = Counter(each.traits for each in check.lost_by_request.values())
        lost = merge_lost(
            each._replace(alike=by_traits[each.traits])
            for each in check.lost_by_request.values()
        )
        self._metrics.endpoint_crashed()
        for listed in id_lists(list(check.lost_by_request)):
            self._log.warning(
                "endpoint_crashed",
                endpoint=start[0],
                born=start[1],
                request_ids=listed,
                seconds=self._loop.time() - check.at,
            )
        for each in lost[:MAX_LOGGED]:
            self._log.warning(
                "request_suspected",
                endpoint=start[0],
                born=start[1],
                traits=",".join(each.traits),
                sent_for=each.sent_for,
                alike=each.alike,
                trial=each.is_trial,
            )
        crash = EndpointCrash(*start, check.at, lost)
        self._state.peer_updates.crashes.crashed(crash)


def _is_whole(exchange: Exchange) -> bool:
    """Whether one endpoint has given the whole answer.

    What the last of several has added shows nothing of what made the others crash.
    """
    return not exchange.lost_starts and exchange.meta.last_event_id is None


def _may_show_crash(error: CranberrywickError) -> bool:
    if isinstance(error, EndpointFailed):
        return False
    return isinstance(error, AmbiguousSend | AnswerLost)


async def refuses_connections(address: str) -> bool:
    """Whether nothing listens at ``ip:port``, as the VM there answers itself."""
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(*parse_address(address))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        return False  # Its VM or the way there may be lost: that shows no crash.
    writer.transport.abort()
    return False
