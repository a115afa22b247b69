"""Which endpoint is told to load which model, version or adapter, or to change role.

Load pattern: operators put a new version first in a model's list, a model is added,
or demand moves from one model to another for longer than a burst. Each order empties
an endpoint's cache and leaves it cold, and each load reads the weight store, whose
rate is limited.

Without this: a new version ordered everywhere at once leaves the whole fleet cold
together, and every caller waits; demand that swings each minute has endpoints load
models all day; a model's last warm endpoint is taken from it.

Three bounds answer it. At most a tenth of the engines, and one of a failure domain,
are cold or under an order at once. A model keeps its last warm endpoint while
another can be taken. A move by demand needs a gap that has lasted, and an endpoint
that was moved stays for a while.

Grounds for the figures: a tenth keeps the rest below 90% load at 80%; at 16 engines
it is one at a time. A load takes minutes, so a gap must last a minute, six times the
burst of ten seconds, and a move must pay for ten minutes. Load reports lag by
seconds, far below both. The gap between 0.9 and 0.5 is the dead band: after a move
among five engines the two models are nearer to each other, not crossed over.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from cranberrywick.model import EndpointPhase

__all__ = [
    "EngineView",
    "ModelDemand",
    "Order",
    "OrderKind",
    "OrderPlanner",
    "busy_limit",
]

# The part of the engines that may be cold or under an order at once.
BUSY_SHARE = 0.1
# A model above the first gets an endpoint from a model below the second.
BUSY_UTILISATION = 0.9
IDLE_UTILISATION = 0.5
GAP_SECONDS = 60.0
STAY_SECONDS = 600.0


class OrderKind(StrEnum):
    """What an endpoint can be told."""

    LOAD_MODEL = "load_model"
    SET_ROLE = "set_role"


class Order(NamedTuple):
    """An order in terms of the state that is wanted, so that twice is as once."""

    endpoint_id: str
    kind: OrderKind
    model: str | None = None
    version: str | None = None
    adapter: str | None = None
    role: str | None = None


class EngineView(NamedTuple):
    """An engine as its last report shows it.

    ``loadable`` are the models its kind may load; ``wanted_role`` is None where any
    role will do.
    """

    endpoint_id: str
    failure_domain: str
    phase: EndpointPhase
    version_by_model: Mapping[str, str]
    adapters: frozenset[str]
    loadable: tuple[str, ...]
    role: str | None = None
    wanted_role: str | None = None

    @property
    def is_busy(self) -> bool:
        """Whether it can't bear its whole load now."""
        return self.phase is not EndpointPhase.WARM


class ModelDemand(NamedTuple):
    """A model as the operators want it; ``utilisation`` is of its engines now."""

    name: str
    version: str
    adapters: tuple[str, ...]
    utilisation: float


class OrderPlanner:
    """Plans orders from what is reported; times are monotonic seconds.

    Daemons that see the same plan the same, in the order of endpoints' names.

    >>> planner = OrderPlanner()
    >>> planner.plan(engines, [ModelDemand("drafter", "2", (), 0.4)], now=0.0)
    [Order(endpoint_id='engine-1', kind=<OrderKind.LOAD_MODEL: 'load_model'>, ...)]
    """

    def __init__(self):
        self._missing_since: dict[str, float] = {}
        self._gap_since: dict[tuple[str, str], float] = {}
        self._moved_at: dict[str, float] = {}

    def plan(
        self,
        engines: Sequence[EngineView],
        models: Sequence[ModelDemand],
        now: float,
        may_move: bool = True,
    ) -> list[Order]:
        """Return the orders to give now.

        ``may_move`` is False where only a part of the engines is in view: a model
        that none of them holds may be held by others.
        """
        wanted_by_name = {model.name: model for model in models}
        room = _Room(engines)
        moves = self._moves(engines, wanted_by_name, now) if may_move else {}
        orders = []
        for engine in sorted(engines, key=lambda engine: engine.endpoint_id):
            order = moves.get(engine.endpoint_id) or _repair(engine, wanted_by_name)
            if order is not None and room.take(engine, order):
                orders.append(order)
                if engine.endpoint_id in moves:
                    self._moved_at[engine.endpoint_id] = now
        return orders

    def _moves(
        self,
        engines: Sequence[EngineView],
        wanted_by_name: Mapping[str, ModelDemand],
        now: float,
    ) -> dict[str, Order]:
        """Return at most one order that moves an engine to another model."""
        held = {name for engine in engines for name in engine.version_by_model}
        if missing := self._long_missing(set(wanted_by_name) - held, now):
            return self._move_to(missing[0], engines, wanted_by_name, now, None)
        by_load = sorted(wanted_by_name.values(), key=lambda model: model.utilisation)
        if not by_load:
            return {}
        idle, busy = by_load[0], by_load[-1]
        if not self._gap_lasts(idle, busy, now):
            return {}
        return self._move_to(busy.name, engines, wanted_by_name, now, idle.name)

    def _long_missing(self, missing: set[str], now: float) -> list[str]:
        """Return the models that none has held for a while.

        An engine that starts again holds nothing for a moment, and a daemon that
        starts has not heard of all.
        """
        since = self._missing_since
        self._missing_since = {name: since.get(name, now) for name in missing}
        return sorted(
            name
            for name, seen_at in self._missing_since.items()
            if now - seen_at >= GAP_SECONDS
        )

    def _gap_lasts(self, idle: ModelDemand, busy: ModelDemand, now: float) -> bool:
        pair = (idle.name, busy.name)
        is_gap = (
            busy.utilisation > BUSY_UTILISATION and idle.utilisation < IDLE_UTILISATION
        )
        since = self._gap_since.get(pair, now)
        # Only the present pair is remembered: one that comes and goes starts anew.
        self._gap_since = {pair: since} if is_gap else {}
        return is_gap and now - since >= GAP_SECONDS

    def _move_to(
        self,
        model: str,
        engines: Sequence[EngineView],
        wanted_by_name: Mapping[str, ModelDemand],
        now: float,
        source: str | None,
    ) -> dict[str, Order]:
        """Move the engine whose present models can best spare it."""
        candidates = [
            engine
            for engine in engines
            if model in engine.loadable
            and model not in engine.version_by_model
            and not engine.is_busy
            and (source is None or source in engine.version_by_model)
            and now - self._moved_at.get(engine.endpoint_id, -STAY_SECONDS)
            >= STAY_SECONDS
        ]
        if not candidates:
            return {}
        holders = _warm_holders(engines)

        def spare(engine: EngineView) -> tuple[int, str]:
            fewest = min(
                (holders.get(name, 0) for name in engine.version_by_model),
                default=len(engines),
            )
            return (-fewest, engine.endpoint_id)

        chosen = min(candidates, key=spare)
        version = wanted_by_name[model].version
        order = Order(chosen.endpoint_id, OrderKind.LOAD_MODEL, model, version)
        return {chosen.endpoint_id: order}


def _repair(
    engine: EngineView, wanted_by_name: Mapping[str, ModelDemand]
) -> Order | None:
    """Return what brings an engine to the wanted version, adapters and role."""
    for name, version in sorted(engine.version_by_model.items()):
        wanted = wanted_by_name.get(name)
        if wanted is None:
            continue
        if version != wanted.version:
            kind = OrderKind.LOAD_MODEL
            return Order(engine.endpoint_id, kind, name, wanted.version)
        for adapter in wanted.adapters:
            if adapter not in engine.adapters:
                kind = OrderKind.LOAD_MODEL
                return Order(engine.endpoint_id, kind, name, version, adapter)
    if engine.wanted_role not in (None, engine.role):
        kind = OrderKind.SET_ROLE
        return Order(engine.endpoint_id, kind, role=engine.wanted_role)
    return None


class _Room:
    """How many more engines may be made cold now, and which."""

    def __init__(self, engines: Sequence[EngineView]):
        self._left = busy_limit(len(engines)) - sum(e.is_busy for e in engines)
        self._busy_domains = {e.failure_domain for e in engines if e.is_busy}
        self._holders = _warm_holders(engines)
        self._held_once = _held_once(engines)

    def take(self, engine: EngineView, order: Order) -> bool:
        """Say whether the order may be given, and count it."""
        if engine.is_busy or self._left <= 0:
            return False
        if engine.failure_domain in self._busy_domains:
            return False
        if any(self._is_last(name, order) for name in engine.version_by_model):
            return False
        for name in engine.version_by_model:
            self._holders[name] -= 1
        self._left -= 1
        self._busy_domains.add(engine.failure_domain)
        return True

    def _is_last(self, name: str, order: Order) -> bool:
        """Say whether the order would leave a model without a warm engine."""
        if name == order.model and name in self._held_once:
            # Its only engine: it must load now, or its version never changes.
            return False
        return self._holders[name] <= 1


def busy_limit(engines: int) -> int:
    """Return how many of so many engines may be cold or under an order at once."""
    return max(1, int(engines * BUSY_SHARE))


def _held_once(engines: Iterable[EngineView]) -> set[str]:
    """Return the models that a single engine holds."""
    counts = Counter(name for engine in engines for name in engine.version_by_model)
    return {name for name, count in counts.items() if count == 1}


def _warm_holders(engines: Iterable[EngineView]) -> dict[str, int]:
    holders: dict[str, int] = {}
    for engine in engines:
        for name in engine.version_by_model:
            holders.setdefault(name, 0)
            holders[name] += not engine.is_busy
    return holders
