"""The controller that orders endpoints to load the models that operators want.

It reads the state of the endpoints that this daemon is steward of, plans with
`cranberrywick.decisions.orders` and sends orders with `cranberrywick.endpoints.orders`.
"""

import time
from collections.abc import Callable, Mapping

from cranberrywick.configuration.document import Configuration
from cranberrywick.controllers.actor import Controller
from cranberrywick.decisions.orders import (
    EngineView,
    ModelDemand,
    Order,
    OrderPlanner,
    busy_limit,
)
from cranberrywick.endpoints.orders import (
    EngineState,
    NotGiven,
    OrderSender,
    fetch_engine_state,
)
from cranberrywick.errors import CranberrywickError
from cranberrywick.logs import EventLog
from cranberrywick.model import Endpoint, EndpointKind, EndpointLoad

__all__ = ["OrderController"]

# Share of the listed engines whose load must be known before engines are moved between
# models. It is below one because some listed engines may be dead.
FULL_VIEW_SHARE = 0.9


class OrderController(Controller):
    """Plans and sends orders at each `tick`, on a thread that no request waits for.

    ``configuration`` returns the configuration in force, if there is one,
    ``endpoints`` and ``loads`` return the fleet's endpoints and their loads by
    endpoint id, and ``is_steward_of`` says whether this daemon is the steward of an
    endpoint. A tick may take seconds; a caller should skip the next one while
    `ControllerHandle.waiting` isn't zero.
    """

    def __init__(
        self,
        order_sender: OrderSender,
        configuration: Callable[[], Configuration | None],
        endpoints: Callable[[], Mapping[str, Endpoint]],
        loads: Callable[[], Mapping[str, EndpointLoad]],
        is_steward_of: Callable[[str], bool],
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self._order_sender = order_sender
        self._configuration = configuration
        self._endpoints = endpoints
        self._loads = loads
        self._is_steward_of = is_steward_of
        self._clock = clock
        self._planner = OrderPlanner()
        self._log = EventLog(part="orders")
        self._paused_until = 0.0

    def tick(self) -> None:
        """Plan, and send the orders to the endpoints that this daemon is steward of."""
        now = self._clock()
        configuration = self._configuration()
        if configuration is None or now < self._paused_until:
            return
        engines_by_id = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in self._endpoints().items()
            if endpoint.kind is EndpointKind.ENGINE
        }
        views = self._view(engines_by_id, configuration)
        wanted = _wanted(configuration, engines_by_id, self._loads())
        limit = busy_limit(len(engines_by_id))
        may_reassign = len(views) >= FULL_VIEW_SHARE * len(engines_by_id)
        for order in self._planner.plan(views, wanted, now, may_reassign):
            if self._is_steward_of(order.endpoint_id):
                self._send_order(engines_by_id[order.endpoint_id], order, limit)

    def _view(
        self, engines_by_id: Mapping[str, Endpoint], configuration: Configuration
    ) -> list[EngineView]:
        loads_by_id = self._loads()
        views = []
        for endpoint_id, endpoint in engines_by_id.items():
            load = loads_by_id.get(endpoint_id)
            if load is None:
                continue
            state = (
                self._fetch_state(endpoint)
                if self._is_steward_of(endpoint_id)
                else None
            )
            views.append(_view_of(endpoint, load, state, configuration))
        return views

    def _fetch_state(self, endpoint: Endpoint) -> EngineState | None:
        try:
            return fetch_engine_state(endpoint)
        except CranberrywickError:
            return None

    def _send_order(self, endpoint: Endpoint, order: Order, limit: int) -> None:
        if self._clock() < self._paused_until:
            return
        outcome = self._order_sender.give(endpoint, order, limit)
        self._log.info(
            "endpoint_order",
            endpoint=order.endpoint_id,
            kind=order.kind.value,
            model=order.model,
            version=order.version,
            outcome=outcome,
        )
        if isinstance(outcome, NotGiven):
            # The weight store or the platform is at its limit. A refusal holds for all
            # orders, and the next attempt would only add to the load.
            self._paused_until = self._clock() + outcome.retry_after


def _view_of(
    endpoint: Endpoint,
    load: EndpointLoad,
    state: EngineState | None,
    configuration: Configuration,
) -> EngineView:
    """Return the planner's view of an engine.

    Without ``state`` the engine has another steward, or did not answer. Its versions
    and adapters are then unknown and assumed to be the wanted ones, so that it gets no
    order because of them.
    """
    models = configuration.models_by_name
    versions = dict(state.version_by_model) if state else {}
    held_versions = {
        name: versions.get(name) or models[name].versions[0]
        for name in load.models
        if name in models
    }
    adapters = {adapter for name in held_versions for adapter in models[name].adapters}
    return EngineView(
        endpoint.endpoint_id,
        endpoint.failure_domain,
        load.phase,
        held_versions,
        state.adapters if state else frozenset(adapters),
        endpoint.models,
        state.role if state else None,
    )


def _wanted(
    configuration: Configuration,
    engines_by_id: Mapping[str, Endpoint],
    loads_by_id: Mapping[str, EndpointLoad],
) -> list[ModelDemand]:
    """Return the operators' models with the utilisation of their engines' slots."""
    wanted = []
    for name, model in configuration.models_by_name.items():
        holders = [
            (engines_by_id[endpoint_id], load)
            for endpoint_id, load in loads_by_id.items()
            if endpoint_id in engines_by_id and name in load.models
        ]
        slots = sum(endpoint.slots for endpoint, _ in holders)
        used = sum(load.running + load.waiting for _, load in holders)
        utilisation = used / slots if slots else 0.0
        wanted.append(ModelDemand(name, model.versions[0], model.adapters, utilisation))
    return wanted
