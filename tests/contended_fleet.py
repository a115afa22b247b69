"""A fleet of daemons with contended engines, without a network.

Engines and loads are those of `cranberrywick.bench.prompts`; in addition daemons defer
requests and exchange statements of their demand, some of which are lost, late or
doubled.
"""

from collections import defaultdict
from itertools import count
from types import SimpleNamespace
from typing import NamedTuple

from cranberrywick.bench.prompt_engines import PROFILE, Kind, SimulatedPrompt
from cranberrywick.bench.prompts import Experiment, FleetShape
from cranberrywick.gateway.contention import Contention, Waiter
from cranberrywick.gateway.deferrals import retry_seconds
from cranberrywick.routing.deferral import MIN_DEFERRAL_SECONDS, deferral_left
from cranberrywick.routing.demand import Demand
from cranberrywick.routing.fleet_demand import DemandStatement, FleetDemand
from cranberrywick.routing.model import PromptSize, Service
from cranberrywick.routing.table import RouteTable

# The first deployment of docs/design/contention.md with half of its engines, so that
# there is too little capacity in the hard hours. The profile's other figures are those
# of the simulated engines.
ENGINE = PROFILE._replace(
    slots=6,
    memory_tokens=344_250,
    step_seconds=0.00131,
    prefill_rate=154_000.0,
)
KINDS = (
    Kind("short", 35.7, 5_000, 0.0, 33, 0.271, 0.25, 1.0),
    Kind("middle", 4.34, 45_000, 0.0, 20, 1.533, 0.6, 1.0),
    Kind("long", 0.81, 260_000, 0.0, 16, 8.057, 1.0, 1.0),
)
PACK = 4
HEARTBEAT_SECONDS = 0.5
# A change of the waiting requests is stated within this time.
STATEMENT_SECONDS = 0.02
# Each statement is received this often, each time after one of these delays.
COPIES = (0, 1, 1, 1, 2)
DELAYS_SECONDS = (0.012, 0.065, 0.065, 0.25)
JOBS_DELAY_SECONDS = 0.065
RETRY_SECONDS = 0.02
# Hard hours: kind, factor, from, until.
USUAL_UNTIL, LONG_UNTIL, SHORT_UNTIL, END = 4.0, 10.0, 13.5, 18.0


def _factor(kind, at):
    if kind == "long" and USUAL_UNTIL <= at < LONG_UNTIL:
        return 2.5
    return 1.8 if kind == "short" and LONG_UNTIL <= at < SHORT_UNTIL else 1.0


def table(ranks=(0, 1, 2), service="pool"):
    routes = [
        SimpleNamespace(
            host="h",
            prefix=f"/{kind.name}/",
            weights_by_service=((service, 1.0),),
            priority=rank,
            target_seconds=kind.target_seconds,
            is_usable=True,
        )
        for kind, rank in zip(KINDS, ranks, strict=True)
    ]
    services_by_name = {service: Service(service, 0.0, 0.0, ENGINE)}
    return RouteTable(SimpleNamespace(routes=routes, services_by_name=services_by_name))


class Records:
    """Takes the place of the log and the metrics; keeps the log lines."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    def of(self, event):
        return [fields for name, fields in self.lines if name == event]

    def request_deferred(self, service, reason): ...

    def deferral_ended(self, service, reason, seconds): ...


class Start(NamedTuple):
    """A prompt's start: the engines that read it, and what its daemon knew.

    ``known_ids`` are the prompts of other daemons that wait, by the statements that
    have been received. ``has_slack`` says that it could have been deferred for longer.
    """

    prompt: SimulatedPrompt
    at: float
    engine_ids: frozenset[str]
    predicted: float
    known_ids: frozenset[str]
    has_slack: bool


class ContendedFleet(Experiment):
    """Prompts of three ranks on contended engines.

    Daemon 0 receives nothing from the others if ``is_cut_off``; ``ranks`` are those of
    the three kinds.
    """

    def __init__(
        self,
        seed,
        *,
        ranks=(0, 1, 2),
        is_cut_off=False,
        engines=30,
        daemons=20,
    ):
        fleet = FleetShape(engines, daemons, JOBS_DELAY_SECONDS, 1.0)
        super().__init__("priced", seed, KINDS, fleet, ENGINE)
        self.seed = seed
        self.is_cut_off = is_cut_off
        names = (kind.name for kind in KINDS)
        self._rank_by_kind = dict(zip(names, ranks, strict=True))
        routes = table(ranks)
        self.demands = [FleetDemand() for _ in range(daemons)]
        self.records = [Records() for _ in range(daemons)]
        self._stating = [False] * daemons
        self.contentions = [
            Contention(
                lambda: routes, demand, lambda n=n: self._state_soon(n), log, log
            )
            for n, (demand, log) in enumerate(
                zip(self.demands, self.records, strict=True)
            )
        ]
        self.prompts = []
        self.starts_by_name = {}
        self.last_deferred_at = {}
        self.waited_for_slot = set()
        self._waiting_names = [set() for _ in range(daemons)]
        # By receiver and sender: the number of a statement and who waited then.
        self._known = [defaultdict(lambda: (-1, frozenset())) for _ in range(daemons)]
        self._numbers = count()
        self.now = 0.0
        for number in range(daemons):
            self._schedule(
                number * HEARTBEAT_SECONDS / daemons,
                lambda now, n=number: self._heartbeat(n, now),
            )

    def _arrivals(self, seconds):
        names = count()
        for kind in self._kinds:
            size = PACK if kind.name == "long" else 1
            at = 0.0
            while True:
                rate = kind.per_second * _factor(kind.name, at) / size
                at += self._rng.expovariate(rate)
                if at >= END:
                    break
                for place in range(size):
                    events = max(
                        1, round(self._rng.lognormvariate(0, 0.5) * kind.events)
                    )
                    tokens = PromptSize(int(kind.prompt_tokens), events * 51)
                    moment = at + 0.01 * place
                    yield (
                        moment,
                        SimulatedPrompt(
                            f"p{next(names)}", kind, tokens, moment, events
                        ),
                    )

    def _heartbeat(self, number, now):
        self.demands[number].evict_silent(now)
        self._state(number, now)
        self._schedule(
            now + HEARTBEAT_SECONDS, lambda later: self._heartbeat(number, later)
        )

    def _state_soon(self, number):
        if not self._stating[number]:
            self._stating[number] = True
            self._schedule(
                self.now + STATEMENT_SECONDS, lambda now: self._state(number, now)
            )

    def _state(self, number, now):
        self._stating[number] = False
        stated = DemandStatement(services=self.demands[number].services(now))
        known = next(self._numbers), frozenset(self._waiting_names[number])
        for other in range(len(self.demands)):
            if other == number or (other == 0 and self.is_cut_off):
                continue
            for _ in range(self._rng.choice(COPIES)):
                self._schedule(
                    now + self._rng.choice(DELAYS_SECONDS),
                    lambda at, to=other: self._receive(to, number, stated, known, at),
                )

    def _receive(self, number, sender, statement, known, now):
        # As of a member's heartbeats, one that was overtaken changes nothing.
        if known[0] > self._known[number][sender][0]:
            self._known[number][sender] = known
            self.demands[number].receive(str(sender), statement, now)

    def _deliver_jobs(self, prompt, jobs, now):
        for number, load in enumerate(self._loads):
            if number != prompt.daemon and not (number == 0 and self.is_cut_off):
                load.receive(prompt.name, jobs, now)

    def _arrive(self, prompt, now):
        self.now = now
        prompt.daemon = self._rng.randrange(len(self._loads))
        self.prompts.append(prompt)
        demand = self._demand(prompt)
        rank = self._rank_by_kind[prompt.kind.name]
        waiter = Waiter(demand, rank, now, demand.due_at, now + 15.0, None)
        self.contentions[prompt.daemon].request_arrived(waiter, now)
        self._try(prompt, waiter, False, now)

    def _demand(self, prompt):
        kind = prompt.kind
        due_at = prompt.at + kind.target_seconds
        return Demand(
            *(prompt.name, self._service, prompt.size, kind.target_seconds, due_at),
            *(kind.gap_seconds, ""),
            logged_id=prompt.name,
        )

    def place_one(self, kind_name):
        """Return the placement of a prompt in the idle fleet."""
        kind = next(kind for kind in KINDS if kind.name == kind_name)
        size = PromptSize(int(kind.prompt_tokens), 500)
        demand = self._demand(SimulatedPrompt("p", kind, size, 0.0, 1))
        return self._place_functions[0](demand, self._usable, 0.0)

    def _try(self, prompt, waiter, is_waiting, now):
        self.now = now
        contention = self.contentions[prompt.daemon]
        place = self._place_functions[prompt.daemon]
        placement = place(waiter.demand, self._usable, now)
        names = self._waiting_names[prompt.daemon]
        if is_waiting and placement is not None:
            contention.waiting_ended(waiter)
            names.remove(prompt.name)
        if placement is None:
            if not is_waiting:
                names.add(prompt.name)
                self.waited_for_slot.add(prompt.name)
                contention.waiting_began(waiter)
            wait = RETRY_SECONDS
        elif contention.may_start(waiter, placement, now):
            self._start_prompt(prompt, placement, now)
            return
        else:
            self.last_deferred_at[prompt.name] = now
            wait = retry_seconds(waiter, placement, now)
        self._schedule(
            now + wait, lambda at: self._try(prompt, waiter, placement is None, at)
        )

    def _start_prompt(self, prompt, placement, now):
        known = frozenset().union(*(k for _, k in self._known[prompt.daemon].values()))
        left = deferral_left(
            prompt.kind.target_seconds, placement.first_event_seconds, now - prompt.at
        )
        self.starts_by_name[prompt.name] = Start(
            prompt,
            now,
            frozenset(job.endpoint_id for job in placement.jobs),
            now + placement.first_event_seconds,
            known,
            left > MIN_DEFERRAL_SECONDS,
        )
        # `Experiment` places the prompt itself; it gets the placement decided here.
        place = self._place_functions[prompt.daemon]
        self._place_functions[prompt.daemon] = lambda *_: placement
        self._place_or_retry(prompt, now)
        self._place_functions[prompt.daemon] = place

    def overtaken(self):
        """Return the late prompts of rank 0 and those of rank 2 that made them late.

        These arrived later, had slack, and were started before the prompt was late,
        although their daemons knew that it waits, or on an engine that was reading it
        in time.
        """
        starts = self.starts_by_name.values()
        long = [s for s in starts if s.prompt.kind.name == "long" and s.has_slack]
        for late in starts:
            prompt = late.prompt
            due_at = prompt.at + prompt.kind.target_seconds
            if prompt.kind.name != "short" or (prompt.first_at or END) <= due_at:
                continue
            for other in long:
                if other.prompt.at <= prompt.at or other.at >= due_at:
                    continue
                if self.is_cut_off and other.prompt.daemon == 0 != prompt.daemon:
                    continue  # It can't know of the late one.
                if other.at < late.at and prompt.name in other.known_ids:
                    yield prompt.name, other.prompt.name
                is_known = late.at + JOBS_DELAY_SECONDS < other.at
                is_foreseen = late.predicted >= due_at
                if is_known and not is_foreseen and late.engine_ids & other.engine_ids:
                    yield prompt.name, other.prompt.name
