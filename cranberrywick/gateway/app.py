"""The gateway daemon: its components and its start."""

import asyncio
import contextlib
import random
from signal import SIGHUP

from cranberrywick.gateway.buffer_budget import buffer_budget
from cranberrywick.gateway.caller_connection import CallerConnection
from cranberrywick.gateway.contention import Contention
from cranberrywick.gateway.direct_attempts import DirectAttempts
from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.forwarder import Forwarder
from cranberrywick.gateway.graceful_stop import GracefulStop
from cranberrywick.gateway.http_request import HttpRequest
from cranberrywick.gateway.ingress import Ingress
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.log_output import BoundedOutput
from cranberrywick.gateway.loop_lag import LoopLag
from cranberrywick.gateway.peer_requests import PeerRequests
from cranberrywick.gateway.state import FleetState
from cranberrywick.gateway.stop_signal import StopSignal
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.gateway.turn_limit import new_event_loop
from cranberrywick.gateway.waiting import WaitingRequests
from cranberrywick.gateway.weighted_directory import WeightedDirectory
from cranberrywick.logs import EventLog
from cranberrywick.platform.configuration import decode_configuration
from cranberrywick.platform.directory import (
    DIRECTORY_PATH,
    decode_failure_domain,
    encode_directory,
)
from cranberrywick.platform.settings import load_settings
from cranberrywick.platform.store import PlatformStore
from cranberrywick.routing.directory import ANSWER_SECONDS, choose_addresses
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.placement import Placer

__all__ = ["Gateway", "run_gateway"]

# How long before it would be killed the process ends, in seconds.
MARGIN_SECONDS = 0.2
# Longest description of a callback in a log line, in characters.
MAX_SOURCE = 300
# Interval at which the health and rate limits of removed endpoints are dropped, in
# seconds. It is much longer than the absence of an endpoint that is removed and added
# again and again, so that such an endpoint returns with its recorded failures.
FORGET_SECONDS = 30.0


class Gateway:
    """One daemon of the fleet.

    ``state`` is what the daemon knows of the fleet, ``output`` what its log goes to.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        log: EventLog,
        output: BoundedOutput | None = None,
    ):
        self._settings = settings
        self._log = log
        self._rng = random.Random()
        self._metrics = LazyMetrics(settings.daemon_id)
        if output is not None:
            self._metrics.observe_log(output)
        self._ticker = Ticker(log)
        self._lag = LoopLag(self._ticker)
        self._metrics.observe_loop_lag(self._lag.read)
        store = PlatformStore(settings.store_address, log)
        self.state = FleetState(
            settings, store, decode_configuration, self._ticker, self._metrics, log
        )
        health = EndpointHealth()
        peer_updates = self.state.peer_updates
        self._metrics.observe_quarantines(peer_updates.crashes.count)
        placer = Placer(
            peer_updates.load,
            health,
            peer_updates.slowdowns,
            self._rng,
            lambda: peer_updates.delay_seconds,
            peer_updates.limits.wait_seconds,
        )
        self._health = health
        contention = Contention(
            lambda: self.state.table,
            peer_updates.demand,
            peer_updates.observation_changed,
            self._metrics,
            log,
            self.state.slots_in_use,
            self.state.members.count,
            self._rng,
        )
        drain = Drain(self.state, self._metrics, log)
        waiting = WaitingRequests(self.state, placer, contention, drain)
        peer_updates.answers.running = drain.running.streams
        peer_updates.answers.running_calls = drain.running.calls
        self.state.changed = waiting.schedule_placing
        self.state.reach.regained = health.forget
        direct = DirectAttempts(
            settings,
            self.state,
            waiting,
            health,
            contention,
            drain,
            self._metrics,
            log,
        )
        forwarder = Forwarder(
            settings, self.state, waiting, direct, drain, self._metrics, log
        )
        budget = buffer_budget(settings, self._metrics, log)
        self._ingress = Ingress(forwarder, self._request_limits, budget)
        peer_requests = PeerRequests(self.state, direct, drain, budget, log)
        self._peer_ingress = peer_requests.ingress
        self._internal_ingresses = [
            (address, Ingress(handler, budget=budget))
            for address, handler in (
                (settings.directory_address, self._answer_directory),
                (settings.ready_address, self._answer_ready),
                (settings.metrics_address, self._answer_metrics),
            )
        ]
        self._weighted_directory: WeightedDirectory | None = None
        if settings.pressure:
            self._weighted_directory = WeightedDirectory(
                settings, peer_updates, self._ticker, self._rng, log
            )
        self._stopping = asyncio.Event()
        self._stop_signal = StopSignal(self._ticker)
        self._graceful_stop = GracefulStop(
            self.state,
            self._ingress,
            peer_requests,
            [ingress for _, ingress in self._internal_ingresses],
            drain,
            waiting,
            self._lag,
            self._ticker,
            log,
        )

    def _request_limits(self):
        """Return the configured limits of requests, None before a configuration."""
        table = self.state.table
        return table.configuration.limits if table else None

    @property
    def end_by(self) -> float:
        """When the process has to have ended, of the event loop's clock."""
        grace_seconds = self._settings.bounds.grace_seconds
        return self._stop_signal.moment().earliest + grace_seconds - MARGIN_SECONDS

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop.

        Requests that are being served may end first, within the grace period.
        """
        loop = asyncio.get_running_loop()
        self._stop_signal.listen(self._ask_to_stop)
        loop.add_signal_handler(SIGHUP, self._reload)
        loop.set_exception_handler(self._record_failure)
        await self.start()
        await self._stopping.wait()
        signalled = self._stop_signal.moment()
        await self._graceful_stop.run(signalled, self._settings.bounds.grace_seconds)

    async def start(self) -> None:
        """Start to read the store and to listen on all configured addresses.

        Raises `OSError` if an address can't be used.
        """
        await self.state.start()
        if self._settings.entry_address:
            await self._ingress.start(self._settings.entry_address)
        for address, ingress in self._internal_ingresses:
            if address:
                await ingress.start(address)
        if self._settings.forwarding_port:
            ip, port = self._settings.ip, self._settings.forwarding_port
            await self._peer_ingress.start(f"{ip}:{port}")
        self._ticker.every(FORGET_SECONDS, self._forget_gone)
        self._lag.start()
        if self._weighted_directory is not None:
            self._weighted_directory.start()
        self._log.info("gateway_started", address=self._settings.entry_address)

    def _forget_gone(self) -> None:
        """Drop the state of removed endpoints, which would grow without bound."""
        registered_ids = self.state.registry.tracked_by_id.keys()
        self._health.keep_only(registered_ids)
        now = asyncio.get_running_loop().time()
        peer_updates = self.state.peer_updates
        peer_updates.limits.forget(registered_ids, now)
        peer_updates.drain_notices.forget(self.state.registry.born_by_id, now)
        peer_updates.crashes.forget()
        peer_updates.answers.forget(now)

    def _reload(self) -> None:
        """Log that SIGHUP has no effect.

        Everything that can change while a daemon runs is read from the store.
        """
        self._log.info("settings_reload_asked", effect="none")

    def _record_failure(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Log an exception of a callback or a task that nothing else has handled."""
        keys = ("future", "task", "handle", "protocol")
        source = next((context[key] for key in keys if key in context), "")
        self._log.error(
            "callback_failed",
            source=repr(source)[:MAX_SOURCE],
            message=context.get("message", ""),
            error=context.get("exception"),
        )

    def _ask_to_stop(self) -> None:
        """Let `run` stop the daemon."""
        self._stopping.set()

    async def _answer_directory(
        self, request: HttpRequest, caller: CallerConnection
    ) -> None:
        path = request.target.partition(b"?")[0]
        if path != DIRECTORY_PATH:
            await caller.answer(404, [], b"")
            return
        body = encode_directory(self._choose_addresses(request, caller), ANSWER_SECONDS)
        await caller.answer(200, [(b"Content-Type", b"application/json")], body)

    def _choose_addresses(
        self, request: HttpRequest, caller: CallerConnection
    ) -> list[str]:
        if self._weighted_directory is not None:
            domain = decode_failure_domain(request.target)
            return self._weighted_directory.addresses(
                caller.caller_ip, domain, not self.state.ready
            )
        now = asyncio.get_running_loop().time()
        return choose_addresses(
            self.state.members.serving(now),
            self._settings.entry_address,
            not self.state.ready,
            self._rng,
        )

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


async def _run(
    settings: GatewaySettings, log: EventLog, output: BoundedOutput | None
) -> float:
    gateway = Gateway(settings, log, output)
    with contextlib.suppress(asyncio.CancelledError):
        await gateway.run()
    return gateway.end_by


def run_gateway(
    settings_path: str | None = None, output: BoundedOutput | None = None
) -> float:
    """Run the daemon until SIGTERM or SIGINT stops it; return when it has to end.

    That is a moment of `time.monotonic`. The event loop isn't closed, which takes
    several turns and waits for threads: the caller ends the process. ``settings_path``
    is the settings file, ``output`` what the log goes to. Raises `InvalidSettings` if
    the file can't be used.
    """
    settings = load_settings(settings_path)
    log = EventLog(daemon=settings.daemon_id)
    runner = asyncio.Runner(loop_factory=new_event_loop)
    try:
        return runner.run(_run(settings, log, output))
    except BaseException:
        runner.close()
        raise
