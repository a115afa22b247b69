"""Which endpoint is ordered to load which model, version or adapter, or a new role.

Load pattern: operators put a new version first in a model's list, a model is added,
or demand moves from one model to another for longer than a burst. Each order empties
an endpoint's cache and leaves it cold, and each load reads the weight store, whose
rate is limited.

What goes wrong without limits: a new version that is ordered everywhere at once makes
the whole fleet cold at the same time, and every caller waits. If demand swings each
minute, endpoints load models all day. A model can lose its last warm endpoint.

There are three limits. At most a tenth of the engines, and one in each failure
domain, are cold or under an order at the same time. A model keeps its last warm
endpoint as long as another can be ordered instead. A move from one model to another
requires an imbalance in demand that has lasted, and an endpoint that was moved is not
moved again for some time.

Figures: with a tenth of the engines out at a utilisation of 80%, the others stay below
90%. Of 16 engines it is one at a time. A load takes minutes, so an imbalance must last
a minute, six times a burst of ten seconds, and a moved endpoint stays for ten minutes
to be worth its load. Load reports lag by seconds, far less than either. The range
between utilisations of 0.5 and 0.9 is the dead band: after a move among five engines
the utilisations of the two models are closer together, but not reversed.
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

# Share of the engines that may be cold or under an order at the same time.
BUSY_SHARE = 0.1
# A model above the first utilisation gets an endpoint from a model below the second.
BUSY_UTILISATION = 0.9
IDLE_UTILISATION = 0.5
# Time for which an imbalance, or the lack of any engine for a model, must last before
# an engine is moved, in seconds.
IMBALANCE_SECONDS = 60.0
# Shortest time between two moves of the same engine, in seconds.
MIN_STAY_SECONDS = 600.0


class OrderKind(StrEnum):
    """The commands that an endpoint can be given."""

    LOAD_MODEL = "load_model"
    SET_ROLE = "set_role"


class Order(NamedTuple):
    """A command to an endpoint, stated as the wanted state and thus idempotent."""

    endpoint_id: str
    kind: OrderKind
    model: str | None = None
    version: str | None = None
    adapter: str | None = None
    role: str | None = None


class EngineView(NamedTuple):
    """An engine's state by its last report, and what it may or should become.

    ``loadable`` lists the models that its kind may load. ``wanted_role`` is None if
    any role will do.
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
        """Whether the engine is not warm and so can't carry its full load."""
        return self.phase is not EndpointPhase.WARM


class ModelDemand(NamedTuple):
    """The version and adapters that operators want of a model, and its load.

    ``utilisation`` is the present one of the engines that hold the model, 1.0 for
    full.
    """

    name: str
    version: str
    adapters: tuple[str, ...]
    utilisation: float


class OrderPlanner:
    """Plans orders from the engines' reports; times are in monotonic seconds.

    Endpoints are considered in the order of their identifiers, so that daemons with
    the same reports plan the same orders.

    >>> planner = OrderPlanner()
    >>> planner.plan(engines, [ModelDemand("drafter", "2", (), 0.4)], now=0.0)
    [Order(endpoint_id='engine-1', kind=<OrderKind.LOAD_MODEL: 'load_model'>, ...)]
    """

    def __init__(self):
        self._missing_since: dict[str, float] = {}
        self._imbalance_since: dict[tuple[str, str], float] = {}
        self._moved_at: dict[str, float] = {}

    def plan(
        self,
        engines: Sequence[EngineView],
        models: Sequence[ModelDemand],
        now: float,
        may_move: bool = True,
    ) -> list[Order]:
        """Return the orders to give now.

        ``may_move`` must be False if ``engines`` is only a part of the engines, since
        a model that none of them holds may be held by others.
        """
        wanted_by_name = {model.name: model for model in models}
        limits = _OrderLimits(engines)
        moves = self._moves(engines, wanted_by_name, now) if may_move else {}
        orders = []
        for engine in sorted(engines, key=lambda engine: engine.endpoint_id):
            order = moves.get(engine.endpoint_id) or _repair(engine, wanted_by_name)
            if order is not None and limits.allow(engine, order):
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
        if missing := self._lastingly_missing(set(wanted_by_name) - held, now):
            return self._move_to(missing[0], engines, wanted_by_name, now, None)
        by_load = sorted(wanted_by_name.values(), key=lambda model: model.utilisation)
        if not by_load:
            return {}
        idle, busy = by_load[0], by_load[-1]
        if not self._imbalance_lasts(idle, busy, now):
            return {}
        return self._move_to(busy.name, engines, wanted_by_name, now, idle.name)

    def _lastingly_missing(self, missing: set[str], now: float) -> list[str]:
        """Return the models that no engine has held for ``IMBALANCE_SECONDS``.

        A shorter absence means little: an engine that restarts holds no model for a
        moment, and a daemon that starts does not have the reports of all engines yet.
        """
        since = self._missing_since
        self._missing_since = {name: since.get(name, now) for name in missing}
        return sorted(
            name
            for name, seen_at in self._missing_since.items()
            if now - seen_at >= IMBALANCE_SECONDS
        )

    def _imbalance_lasts(
        self, idle: ModelDemand, busy: ModelDemand, now: float
    ) -> bool:
        pair = (idle.name, busy.name)
        is_imbalance = (
            busy.utilisation > BUSY_UTILISATION and idle.utilisation < IDLE_UTILISATION
        )
        since = self._imbalance_since.get(pair, now)
        # Only the present pair is kept: after an interruption its time starts again.
        self._imbalance_since = {pair: since} if is_imbalance else {}
        return is_imbalance and now - since >= IMBALANCE_SECONDS

    def _move_to(
        self,
        model: str,
        engines: Sequence[EngineView],
        wanted_by_name: Mapping[str, ModelDemand],
        now: float,
        source: str | None,
    ) -> dict[str, Order]:
        """Return an order for the engine whose present models can best spare it.

        If ``source`` is given, the engine is one that holds this model. The result
        is empty if no engine can be moved.
        """
        candidates = [
            engine
            for engine in engines
            if model in engine.loadable
            and model not in engine.version_by_model
            and not engine.is_busy
            and (source is None or source in engine.version_by_model)
            and now - self._moved_at.get(engine.endpoint_id, -MIN_STAY_SECONDS)
            >= MIN_STAY_SECONDS
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
    """Return the next order toward an engine's wanted version, adapters and role."""
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


class _OrderLimits:
    """Keeps count of the engines that may still be made cold by one plan."""

    def __init__(self, engines: Sequence[EngineView]):
        self._left = busy_limit(len(engines)) - sum(e.is_busy for e in engines)
        self._busy_domains = {e.failure_domain for e in engines if e.is_busy}
        self._holders = _warm_holders(engines)
        self._held_once = _held_once(engines)

    def allow(self, engine: EngineView, order: Order) -> bool:
        """Return whether the order may be given, and count it if so."""
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
        """Return whether the order would leave a model without a warm engine."""
        if name == order.model and name in self._held_once:
            # The only engine of a model may load a new version of it, since the
            # version would otherwise never change.
            return False
        return self._holders[name] <= 1


def busy_limit(engines: int) -> int:
    """Return how many of ``engines`` may be cold or under an order at once."""
    return max(1, int(engines * BUSY_SHARE))


def _held_once(engines: Iterable[EngineView]) -> set[str]:
    """Return the models that exactly one engine holds."""
    counts = Counter(name for engine in engines for name in engine.version_by_model)
    return {name for name, count in counts.items() if count == 1}


def _warm_holders(engines: Iterable[EngineView]) -> dict[str, int]:
    """Return the number of warm engines that hold each model."""
    holders: dict[str, int] = {}
    for engine in engines:
        for name in engine.version_by_model:
            holders.setdefault(name, 0)
            holders[name] += not engine.is_busy
    return holders
