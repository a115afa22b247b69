"""The gateway daemon: its components, its start and its graceful stop."""

import asyncio
import contextlib
import random
import signal
from collections.abc import Callable

from cranberrywick.gateway.buffer_budget import buffer_budget
from cranberrywick.gateway.caller_connection import CallerConnection
from cranberrywick.gateway.contention import Contention
from cranberrywick.gateway.direct_attempts import DirectAttempts
from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.forwarder import Forwarder
from cranberrywick.gateway.http_request import HttpRequest
from cranberrywick.gateway.ingress import Ingress
from cranberrywick.gateway.last_phase import LastPhase
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.loop_lag import LoopLag
from cranberrywick.gateway.peer_requests import PeerRequests
from cranberrywick.gateway.reservations import wait_for_releases
from cranberrywick.gateway.served_requests import ServedRequests
from cranberrywick.gateway.state import FleetState
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
from cranberrywick.routing.drain_window import DrainWindow
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.placement import Placer

__all__ = ["Gateway", "run_gateway"]

# Shortest time for which a stopping daemon goes on serving, in seconds. Some callers
# use an answer of the directory three times as long as it says, and some are just
# connecting.
LEAVE_SECONDS = 3 * ANSWER_SECONDS + 0.2
# Longest time for answers of the daemon itself, and for releases of memory at
# endpoints, once the connections are closed, in seconds.
CLOSE_SECONDS = 0.1
# Turns of the event loop in which a connection that was accepted is read.
ACCEPT_TURNS = 8
# Longest time in which the last requests without an answer get an error, in seconds.
REST_SECONDS = 0.05
# Longest description of a callback in a log line, in characters.
MAX_SOURCE = 300
# Interval at which the health and rate limits of removed endpoints are dropped, in
# seconds. It is much longer than the absence of an endpoint that is removed and added
# again and again, so that such an endpoint returns with its recorded failures.
FORGET_SECONDS = 30.0


class Gateway:
    """One daemon of the fleet.

    ``state`` is what the daemon knows of the fleet.
    """

    def __init__(self, settings: GatewaySettings, log: EventLog):
        self._settings = settings
        self._log = log
        self._rng = random.Random()
        self._metrics = LazyMetrics(settings.daemon_id)
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
        self._drain = Drain(self.state, self._metrics, log)
        self._waiting = WaitingRequests(self.state, placer, contention, self._drain)
        peer_updates.answers.running = self._drain.running.streams
        peer_updates.answers.running_calls = self._drain.running.calls
        self.state.changed = self._waiting.schedule_placing
        self.state.reach.regained = health.forget
        direct = DirectAttempts(
            settings,
            self.state,
            self._waiting,
            health,
            contention,
            self._drain,
            self._metrics,
            log,
        )
        forwarder = Forwarder(
            settings, self.state, self._waiting, direct, self._drain, self._metrics, log
        )
        budget = buffer_budget(settings, self._metrics, log)
        self._ingress = Ingress(forwarder, self._request_limits, budget)
        self._peer_requests = PeerRequests(self.state, direct, self._drain, budget, log)
        self._peer_ingress = self._peer_requests.ingress
        self._served = (self._ingress, self._peer_ingress)
        self._refusers = (
            (self._ingress, self._drain),
            (self._peer_ingress, self._peer_requests),
        )
        self._requests = ServedRequests(self._served, self._lag, log)
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
        self._signalled_at = 0.0

    def _request_limits(self):
        """Return the configured limits of requests, None before a configuration."""
        table = self.state.table
        return table.configuration.limits if table else None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop.

        Requests that are being served may end first, within the grace period.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._ask_to_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.set_exception_handler(self._record_failure)
        await self.start()
        await self._stopping.wait()
        await self._stop()

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
        """Let `run` stop the daemon.

        A signal that comes while the process is suspended is seen when it goes on, but
        the grace period has begun before.
        """
        if not self._stopping.is_set():
            now = asyncio.get_running_loop().time()
            self._signalled_at = self._ticker.seen_since(now)
            self._stopping.set()

    async def _stop(self) -> None:
        """Leave the directory, serve until no request is left, and close.

        A request that can't be finished within the grace period is refused as soon as
        that is known; the others are answered by its end, if only with an error.
        """
        started = self._signalled_at
        window = DrainWindow.of_grace(started, self._settings.bounds.grace_seconds)
        earliest = started + LEAVE_SECONDS
        phase = LastPhase(self._refusers, self._lag, window, self._step, self._log)
        self._step(self._begin_drain, window)
        unanswered = await self._serve_rest(earliest, phase)
        # What was accepted before is read and served; nothing new comes.
        for ingress in self._served:
            self._step(ingress.stop_listening)
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        unanswered = max(unanswered, await self._serve_rest(earliest, phase))
        # From the last look on nothing else runs until all connections are closed, or
        # nothing more is read from them.
        if self._requests.busy:
            await self._answer_rest()
        self._step(self._requests.record_end, unanswered)
        await self._close()

    async def _serve_rest(self, earliest: float, phase: LastPhase) -> int:
        """Serve until no request is left, or until connections have to be closed.

        Returns how many requests had no answer when the time for it was over.
        """
        if await self._requests.wait_until_idle(earliest, phase.refuse_from):
            return 0
        phase.end_intake()
        if await self._requests.wait_until_idle(
            earliest, lambda: phase.answer_by(self._drain.unanswered)
        ):
            return 0
        unanswered = self._drain.unanswered
        self._give_up_unanswered()
        await self._requests.wait_until_idle(earliest, phase.close_at)
        return unanswered

    def _step(self, step: Callable[..., object], *arguments: object) -> None:
        """Take a step of the stop; one that fails doesn't keep the others from theirs.

        Without the rest of the stop, requests that have nothing to do with the failure
        would be dropped.
        """
        try:
            step(*arguments)
        except Exception as error:
            self._log.error("stop_step_failed", step=step.__qualname__, error=error)

    def _begin_drain(self, window: DrainWindow) -> None:
        """Refuse what can't be finished, and let no more callers come."""
        self._step(self._drain.begin, window)
        self._step(self._waiting.begin_drain)
        for ingress in (*self._served, *self._internal):
            self._step(ingress.drain)
        self._step(self.state.leave)
        self._log.info(
            "drain_started",
            busy=self._requests.busy,
            waiting=len(self._waiting),
            grace=window.close_at - asyncio.get_running_loop().time(),
            lag=self._lag.timer_seconds,
            turn=self._lag.turn_seconds,
        )

    def _give_up_unanswered(self) -> None:
        """End the requests whose answers have not begun, and refuse half read ones."""
        self._step(self.state.end_start)
        self._step(self._drain.end_unanswered)
        for ingress, requests in self._refusers:
            self._step(ingress.refuse_unread, requests.refuse_unread)

    async def _answer_rest(self) -> None:
        """Answer what has been read, if only with an error; read nothing more."""
        loop = asyncio.get_running_loop()
        latest = loop.time() + REST_SECONDS
        for ingress in self._served:
            self._step(ingress.stop_reading)
        self._give_up_unanswered()
        while loop.time() < latest and any(each.unanswered for each in self._served):
            await asyncio.sleep(REST_SECONDS / 10)

    async def _close(self) -> None:
        """Close the connections, and end all that outlives a request.

        Requests that are left are cancelled here and not by the end of the event loop,
        so that the memory that they have reserved at endpoints is released.
        """
        for ingress in (*self._served, *self._internal):
            self._step(ingress.close)
        tasks = [task for ingress in self._served for task in ingress.tasks]
        for task in tasks:
            task.cancel()
        tasks += [task for ingress in self._internal for task in ingress.tasks]
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_SECONDS)
        await wait_for_releases(CLOSE_SECONDS)
        self._step(self.state.reach.stop)
        self._step(self._ticker.stop)
        self._step(self.state.peer_updates.link.close)

    @property
    def _internal(self) -> list[Ingress]:
        """The ingresses whose requests the daemon answers itself."""
        return [ingress for _, ingress in self._internal_ingresses]

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


async def _run(settings: GatewaySettings, log: EventLog) -> None:
    with contextlib.suppress(asyncio.CancelledError):
        await Gateway(settings, log).run()


def run_gateway(settings_path: str | None = None) -> None:
    """Run the daemon until SIGTERM or SIGINT stops it.

    ``settings_path`` is the settings file. Raises `InvalidSettings` if it can't be
    used.
    """
    settings = load_settings(settings_path)
    log = EventLog(daemon=settings.daemon_id)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_run(settings, log))
