"""The gateway daemon: every part, joined, from start to a graceful stop."""

import asyncio
import contextlib
import random
import signal

from cranberrywick.gateway.forwarder import Forwarder
from cranberrywick.gateway.ingress import CallerConnection, HttpRequest, Ingress
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.state import FleetState
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.gateway.waiting import WaitingRequests
from cranberrywick.logs import EventLog
from cranberrywick.platform.directory import DIRECTORY_PATH, encode_directory
from cranberrywick.platform.documents import decode_configuration
from cranberrywick.platform.settings import load_settings
from cranberrywick.platform.store import PlatformStore
from cranberrywick.routing.directory import ANSWER_SECONDS, choose_addresses
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.placement import Placer

__all__ = ["Gateway", "run_gateway"]

# Callers keep an answer of the directory three times as long as it says, and some
# have connections under way: until then, a stopping daemon serves on.
LEAVE_SECONDS = 3 * ANSWER_SECONDS + 0.2
# Kept back from the time that a stop may take, for closing.
STOP_MARGIN_SECONDS = 0.4
IDLE_LOOK_SECONDS = 0.02
# How often outcomes of endpoints that are gone are dropped: much longer than one that
# flaps is away, so that it comes back with what is held against it.
FORGET_SECONDS = 30.0


class Gateway:
    """One daemon of the fleet."""

    def __init__(self, settings: GatewaySettings, log: EventLog):
        self._settings = settings
        self._log = log
        self._rng = random.Random()
        self._metrics = LazyMetrics(settings.daemon_id)
        self._ticker = Ticker(log)
        store = PlatformStore(settings.store_address)
        self.state = FleetState(
            settings, store, decode_configuration, self._ticker, log
        )
        health = EndpointHealth()
        peer_updates = self.state.peer_updates
        placer = Placer(
            peer_updates.load,
            health,
            peer_updates.slowdowns,
            self._rng,
            lambda: peer_updates.delay_seconds,
            peer_updates.limits.wait_seconds,
        )
        self._health = health
        self._waiting = WaitingRequests(self.state, placer)
        self.state.changed = self._waiting.schedule_placing
        forwarder = Forwarder(
            settings, self.state, self._waiting, health, self._metrics, log
        )
        self._ingress = Ingress(forwarder, self._limits)
        self._others = [
            (settings.directory_address, Ingress(self._answer_directory)),
            (settings.ready_address, Ingress(self._answer_ready)),
            (settings.metrics_address, Ingress(self._answer_metrics)),
        ]
        self._stopping = asyncio.Event()

    def _limits(self):
        table = self.state.table
        return table.configuration.limits if table else None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop without cutting a request."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await self._stopping.wait()
        await self._drain()

    async def start(self) -> None:
        """Begin to serve."""
        await self.state.start()
        if self._settings.entry_address:
            await self._ingress.start(self._settings.entry_address)
        for address, ingress in self._others:
            if address:
                await ingress.start(address)
        self._ticker.every(FORGET_SECONDS, self._forget_gone)
        self._log.info("gateway_started", address=self._settings.entry_address)

    def _forget_gone(self) -> None:
        """Drop what is known of endpoints that are gone, or it grows for ever."""
        registered_ids = self.state.registry.tracked_by_id.keys()
        self._health.keep_only(registered_ids)
        now = asyncio.get_running_loop().time()
        self.state.peer_updates.limits.forget(registered_ids, now)

    def _reload(self) -> None:
        """Note a reload: all that changes while a daemon runs lies in the store."""
        self._log.info("settings_reload_asked", effect="none")

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        grace = self._settings.bounds.grace_seconds - STOP_MARGIN_SECONDS
        self._log.info("drain_started", busy=self._ingress.busy, grace=grace)
        self.state.leave()
        self._ingress.drain()
        while loop.time() - started < grace:
            waited = loop.time() - started
            if waited >= LEAVE_SECONDS and not self._ingress.busy:
                break
            await asyncio.sleep(IDLE_LOOK_SECONDS)
        self._log.info("gateway_stopped", busy=self._ingress.busy)
        self._ingress.close()
        self._ticker.stop()
        self.state.peer_updates.link.close()

    async def _answer_directory(
        self, request: HttpRequest, caller: CallerConnection
    ) -> None:
        path = request.target.partition(b"?")[0]
        if path != DIRECTORY_PATH:
            await caller.answer(404, [], b"")
            return
        now = asyncio.get_running_loop().time()
        addresses = choose_addresses(
            self.state.members.serving(now),
            self._settings.entry_address,
            not self.state.ready,
            self._rng,
        )
        body = encode_directory(addresses, ANSWER_SECONDS)
        await caller.answer(200, [(b"Content-Type", b"application/json")], body)

    async def _answer_ready(
        self, request: HttpRequest, caller: CallerConnection
    ) -> None:
        await caller.answer(200 if self.state.ready else 503, [], b"")

    async def _answer_metrics(
        self, request: HttpRequest, caller: CallerConnection
    ) -> None:
        rendered = await self._metrics.render()
        headers = [(b"Content-Type", rendered.content_type.encode())]
        await caller.answer(200, headers, rendered.body)


async def _run(settings: GatewaySettings, log: EventLog) -> None:
    with contextlib.suppress(asyncio.CancelledError):
        await Gateway(settings, log).run()


def run_gateway(settings_path: str | None = None) -> None:
    """Run the daemon; raises `InvalidSettings`."""
    settings = load_settings(settings_path)
    log = EventLog(daemon=settings.daemon_id)
    asyncio.run(_run(settings, log))
