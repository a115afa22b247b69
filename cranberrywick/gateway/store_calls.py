"""Calls to the store that never block the event loop."""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from cranberrywick.controllers.actor import ControllerHandle
from cranberrywick.errors import CranberrywickError
from cranberrywick.gateway.store_reader import StoreReader
from cranberrywick.logs import EventLog
from cranberrywick.routing.freshness import RefreshPolicy

__all__ = ["StoreCalls"]


class StoreCalls:
    """Makes calls on actors, one at a time for each reader, and hands answers back.

    Each reader has its own `RefreshPolicy`, in which every answer and failure is
    recorded. ``members`` returns how many daemons are alive.

    >>> calls.make("endpoints", store.read_endpoints, apply_endpoints)
    """

    READERS = ("endpoints", "operator")

    def __init__(
        self,
        drain_seconds: float,
        members: Callable[[], int],
        log: EventLog,
        rng: random.Random,
    ):
        self._members = members
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._actors = {name: ControllerHandle(StoreReader) for name in self.READERS}
        self.policies = {
            name: RefreshPolicy(drain_seconds, rng) for name in self.READERS
        }
        self._pending: set[str] = set()
        self._lost: set[str] = set()

    @property
    def store_is_unavailable(self) -> bool:
        """Whether the last call of some kind got no usable answer."""
        return bool(self._lost)

    def make(
        self,
        reader: str,
        call: Callable[[], object],
        done: Callable[[Any, float], None],
    ) -> None:
        """Make a call unless the same one is under way.

        ``done`` is called on the event loop with the answer and the moment at which the
        call was requested. It is not called after a failure, nor once the loop is
        closed.
        """
        if self.is_under_way(reader, call):
            return
        name = _name(reader, call)
        self._pending.add(name)
        requested_at = self._loop.time()

        def hand_over(answer: object) -> None:
            try:
                self._loop.call_soon_threadsafe(
                    self._answered, name, reader, answer, done, requested_at
                )
            except RuntimeError:
                # The daemon has ended, and nobody waits for the answer.
                if not self._loop.is_closed():
                    raise

        self._actors[reader].tell(StoreReader.call, call, hand_over)

    def is_under_way(self, reader: str, call: Callable[[], object]) -> bool:
        """Whether the same call is waiting for its answer."""
        return _name(reader, call) in self._pending

    def _answered(
        self,
        name: str,
        reader: str,
        answer: object,
        done: Callable[[Any, float], None],
        requested_at: float,
    ) -> None:
        self._pending.discard(name)
        now = self._loop.time()
        if isinstance(answer, CranberrywickError):
            self._failed(name, reader, answer, now)
            return
        if name in self._lost:
            self._lost.discard(name)
            self._log.info("store_regained", call=name, seconds=now - requested_at)
        self.policies[reader].succeeded()
        # The answer counts as of the request, the earliest moment at which the store
        # may have read it.
        done(answer, requested_at)

    def _failed(
        self, name: str, reader: str, error: CranberrywickError, now: float
    ) -> None:
        pause = self.policies[reader].failed(self._members(), now)
        if name not in self._lost:
            self._lost.add(name)
            self._log.warning(
                "store_lost", call=name, error=error, next_try_seconds=pause
            )


def _name(reader: str, call: Callable[[], object]) -> str:
    function = call.func if isinstance(call, partial) else call
    return f"{reader}.{function.__name__}"
