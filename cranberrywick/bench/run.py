"""One run of a strategy with simulated engines, and what its callers received."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from cranberrywick.bench.arrivals import TARGETS_BY_CLASS, Arrival
from cranberrywick.bench.clock import VirtualClock
from cranberrywick.bench.engine import FakeEngine, Listener
from cranberrywick.decisions.strategy import Strategy
from cranberrywick.model import (
    Endpoint,
    Executed,
    GiveUp,
    Refused,
    Retry,
    Send,
    SendResult,
    Work,
)

__all__ = ["Received", "Run", "Sent"]

# One-way delay between a daemon and an engine in the same town, in seconds.
NETWORK_SECONDS = 0.0005
# Interval of the load reports of an engine, and their delay, in seconds.
REPORT_EVERY_SECONDS = 1.0
REPORT_LAG_SECONDS = 1.0
# Time after the last arrival during which engines still report, in seconds; every
# request has ended by then.
REPORTS_AFTER_LAST_ARRIVAL_SECONDS = 500.0


class Received(NamedTuple):
    """What one caller received; times are in seconds after its arrival.

    ``outcome`` is ``finished``, ``refused`` (on arrival or later; not run), ``failed``
    (an attempt failed) or ``missed`` (the deadline of its class passed).
    """

    work: Work
    output_tokens: int
    outcome: str
    first_token_seconds: float | None
    total_seconds: float
    endpoint_ids: tuple[str, ...]

    @property
    def in_time(self) -> bool:
        """Whether the answer finished and its first token met the class's target."""
        prompt = self.work.first_token_deadline - self.work.arrival
        return (
            self.outcome == "finished"
            and self.first_token_seconds is not None
            and self.first_token_seconds <= prompt
        )


class Sent(NamedTuple):
    """One attempt that the strategy sent."""

    time: float
    work_id: str
    endpoint_id: str


class _OpenRequest:
    """A request whose caller is still waiting."""

    def __init__(self, arrival: Arrival):
        self.work = arrival.work
        self.output_tokens = arrival.output_tokens
        self.first_token_at: float | None = None
        self.endpoint_ids: list[str] = []
        self.gang: tuple[str, ...] = ()
        self.attempt = 0


class Run:
    """Offers arrivals to a strategy, executes its actions and records the results.

    ``faults`` are pairs of a time and a function that is called then with this run.
    """

    def __init__(
        self,
        strategy: Strategy,
        endpoints_by_id: Mapping[str, Endpoint],
        arrivals: Iterable[Arrival],
        faults: Iterable[tuple[float, Callable[["Run"], None]]] = (),
    ):
        self.strategy = strategy
        self.clock = VirtualClock()
        self.endpoints_by_id = dict(endpoints_by_id)
        self.engines_by_id = {
            endpoint_id: FakeEngine(endpoint, self.clock)
            for endpoint_id, endpoint in endpoints_by_id.items()
        }
        self.received: list[Received] = []
        self.sends: list[Sent] = []
        self._open_by_id: dict[str, _OpenRequest] = {}
        self._arrivals = list(arrivals)
        self._faults = list(faults)
        self._wake_at: float | None = None

    def start(self) -> list[Received]:
        """Run until no event is left and return what each caller received."""
        self.strategy.set_targets(TARGETS_BY_CLASS)
        self.strategy.set_endpoints(self.endpoints_by_id, 0.0)
        for arrival in self._arrivals:
            self.clock.at(arrival.work.arrival, lambda a=arrival: self._arrive(a))
        for time, fault in self._faults:
            self.clock.at(time, lambda f=fault: self._fault(f))
        self._schedule_reports()
        self.clock.run()
        return self.received

    def _fault(self, fault: Callable[["Run"], None]) -> None:
        fault(self)
        self._poll()

    def set_slowdown(self, endpoint_id: str, slowdown: float) -> None:
        """Make an engine take ``slowdown`` times as long, without informing anyone."""
        self.engines_by_id[endpoint_id].set_slowdown(slowdown)

    def set_domains_out(self, domains: frozenset[str]) -> None:
        """Pass an operator's order to the strategy: take these domains out."""
        self.strategy.set_domains_out(domains, self.clock.now)

    def endpoints_in(self, domain: str) -> list[str]:
        """Return the ids of the endpoints in a failure domain."""
        return [
            endpoint_id
            for endpoint_id, endpoint in self.endpoints_by_id.items()
            if endpoint.failure_domain == domain
        ]

    def kill(self, endpoint_ids: Iterable[str]) -> None:
        """Stop engines, which lose all requests and memory."""
        for endpoint_id in endpoint_ids:
            self.engines_by_id[endpoint_id].die()

    def restart(self, endpoint_ids: Iterable[str]) -> None:
        """Start dead engines again, cold."""
        for endpoint_id in endpoint_ids:
            self.engines_by_id[endpoint_id].start()

    def not_idempotent_run_twice(self) -> int:
        """Return the number of calls that ran twice without being idempotent."""
        runs = Counter(
            work_id
            for engine in self.engines_by_id.values()
            for work_id in engine.accepted
        )
        return sum(
            not one.work.idempotent and runs[one.work.work_id] > 1
            for one in self.received
        )

    def _schedule_reports(self) -> None:
        last = self._arrivals[-1].work.arrival if self._arrivals else 0.0
        end = last + REPORTS_AFTER_LAST_ARRIVAL_SECONDS
        for index, engine in enumerate(self.engines_by_id.values()):
            offset = index / len(self.engines_by_id) * REPORT_EVERY_SECONDS
            self.clock.at(offset, lambda e=engine, u=end: self._report(e, u))

    def _report(self, engine: FakeEngine, until: float) -> None:
        if not engine.dead:
            load = engine.load()
            self.clock.after(REPORT_LAG_SECONDS, lambda: self._report_arrives(load))
        if self.clock.now + REPORT_EVERY_SECONDS < until:
            self.clock.after(REPORT_EVERY_SECONDS, lambda: self._report(engine, until))

    def _report_arrives(self, load) -> None:
        self.strategy.report_load(load, self.clock.now)
        self._poll()

    def _arrive(self, arrival: Arrival) -> None:
        opened = _OpenRequest(arrival)
        self._open_by_id[arrival.work.work_id] = opened
        answer = self.strategy.offer(arrival.work, self.clock.now)
        if isinstance(answer, Refused):
            self._close(opened, "refused")
        else:
            deadline = arrival.work.deadline
            self.clock.at(deadline, lambda: self._deadline(arrival.work.work_id))
        self._poll()

    def _deadline(self, work_id: str) -> None:
        opened = self._open_by_id.get(work_id)
        if opened is None:
            return
        for endpoint_id in opened.endpoint_ids[-1:]:
            self.engines_by_id[endpoint_id].cancel(work_id)
        self._release_gang(opened)
        self.strategy.withdraw(work_id, self.clock.now)
        self._close(opened, "missed")
        self._poll()

    def _close(self, opened: _OpenRequest, outcome: str) -> None:
        del self._open_by_id[opened.work.work_id]
        arrival = opened.work.arrival
        first = opened.first_token_at
        self.received.append(
            Received(
                work=opened.work,
                output_tokens=opened.output_tokens,
                outcome=outcome,
                first_token_seconds=None if first is None else first - arrival,
                total_seconds=self.clock.now - arrival,
                endpoint_ids=tuple(opened.endpoint_ids),
            )
        )

    def _poll(self) -> None:
        for action in self.strategy.poll(self.clock.now):
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, GiveUp):
                self._close(self._open_by_id[action.work_id], "refused")
        wake = self.strategy.next_wake(self.clock.now)
        if wake is not None and wake <= self.clock.now:
            raise RuntimeError(
                "strategy asks to be polled again at the present time, without end"
            )
        if wake is not None and wake != self._wake_at:
            self._wake_at = wake
            self.clock.at(wake, lambda: self._wake(wake))

    def _wake(self, wake: float) -> None:
        if self._wake_at == wake:
            self._wake_at = None
            self._poll()

    def _send(self, action: Send) -> None:
        opened = self._open_by_id[action.work_id]
        endpoint_id = action.endpoint_ids[0]
        opened.endpoint_ids.append(endpoint_id)
        opened.attempt += 1
        attempt = opened.attempt
        self.sends.append(Sent(self.clock.now, action.work_id, endpoint_id))
        listener = Listener(
            first_token=lambda: self._after_network_delay(
                self._first_token, opened, attempt
            ),
            ended=lambda result: self._after_network_delay(
                self._ended, opened, attempt, result
            ),
        )
        opened.gang = action.endpoint_ids[1:]
        self.clock.after(
            NETWORK_SECONDS, lambda: self._submit(opened, action, listener)
        )

    def _submit(self, opened: _OpenRequest, action: Send, listener: Listener) -> None:
        engine = self.engines_by_id[action.endpoint_ids[0]]
        leader_tokens = None
        if opened.gang:
            leader_tokens = self._hold_gang(opened, action)
            if leader_tokens is None:
                refused = SendResult(
                    action.endpoint_ids[0], False, Executed.NO, None, 0.0
                )
                listener.ended(refused)
                return
        engine.submit(opened.work, opened.output_tokens, listener, leader_tokens)

    def _hold_gang(self, opened: _OpenRequest, action: Send) -> int | None:
        """Reserve the helpers' memory and return the leader's part, in tokens.

        Return None, with nothing reserved, when an engine has too little free memory.
        """
        engines = [self.engines_by_id[name] for name in action.endpoint_ids]
        parts = list(zip(engines, action.gang_tokens, strict=True))
        if any(engine.cache_free < tokens for engine, tokens in parts):
            opened.gang = ()
            return None
        for engine, tokens in parts[1:]:
            engine.hold(opened.work.work_id, tokens)
        return action.gang_tokens[0]

    def _release_gang(self, opened: _OpenRequest) -> None:
        for endpoint_id in opened.gang:
            self.engines_by_id[endpoint_id].release(opened.work.work_id)
        opened.gang = ()

    def _after_network_delay(
        self, callback: Callable[..., None], *arguments: object
    ) -> None:
        self.clock.after(NETWORK_SECONDS, lambda: callback(*arguments))

    def _current(self, opened: _OpenRequest, attempt: int) -> bool:
        return opened.work.work_id in self._open_by_id and opened.attempt == attempt

    def _first_token(self, opened: _OpenRequest, attempt: int) -> None:
        if not self._current(opened, attempt):
            return
        if opened.first_token_at is None:
            opened.first_token_at = self.clock.now
        self.strategy.first_token(opened.work.work_id, self.clock.now)
        self._poll()

    def _ended(self, opened: _OpenRequest, attempt: int, result: SendResult) -> None:
        if not self._current(opened, attempt):
            return
        work_id = opened.work.work_id
        self._release_gang(opened)
        answer = self.strategy.finished(work_id, result, self.clock.now)
        if result.succeeded:
            self._close(opened, "finished")
        elif isinstance(answer, Refused):
            self._close(opened, "refused")
        elif not isinstance(answer, Retry):
            self._close(opened, "failed")
        self._poll()
