"""Tests for orders to endpoints: one daemon sends at a time, and none sends late."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from claim_fakes import Clock
from configuration_documents import document

from cranberrywick.configuration.document import check
from cranberrywick.controllers.actor import ControllerHandle, _Call
from cranberrywick.controllers.orders import OrderController
from cranberrywick.decisions.orders import Order, OrderKind
from cranberrywick.endpoints.load import fetch_load
from cranberrywick.endpoints.orders import (
    LEASE_SECONDS,
    SEND_WITHIN_SECONDS,
    FencedOff,
    HeldByOther,
    InForce,
    NotGiven,
    OrderSender,
    Unconfirmed,
)
from cranberrywick.external.weights import WeightStore
from cranberrywick.model import Endpoint, EndpointKind, EndpointPhase
from cranberrywick.standin.engine import EngineStandIn
from cranberrywick.standin.engine_core import EngineSettings
from cranberrywick.standin.kv import InProcessKeyValueStore, KeyValueStandIn
from cranberrywick.standin.server import start
from cranberrywick.standin.weights import WeightStoreStandIn


def load(version):
    return Order("engine-1", OrderKind.LOAD_MODEL, "drafter", version)


class Fleet:
    """Engines, a key-value store and a weight store, with a clock set by the test."""

    def __init__(self):
        self.clock = Clock()
        self.key_value = KeyValueStandIn(self.clock)
        self.weight_store = WeightStoreStandIn(1.0, 100.0, self.clock)
        self.servers = [start(self.weight_store)]
        self.weights = WeightStore(self.servers[0].url)

    def start_engine(self, checks_fencing=True, endpoint_id="engine-1", domain="a"):
        settings = EngineSettings(models=("drafter",), checks_fencing=checks_fencing)
        server = start(EngineStandIn(settings))
        self.servers.append(server)
        return server, Endpoint(
            endpoint_id,
            EndpointKind.ENGINE,
            server.address,
            domain,
            "tallinn",
            models=("drafter",),
            checks_fencing=checks_fencing,
        )

    def order_sender(self, name, before_send=lambda: None):
        store = InProcessKeyValueStore(self.key_value)
        return OrderSender(store, self.weights, name, self.clock, before_send)


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    for server in fleet.servers:
        server.stop()


def accepted_versions(server):
    return [order.get("version") for order in server.standin.orders]


def test_an_order_is_given_once_and_then_found_in_force(fleet):
    server, endpoint = fleet.start_engine()
    assert fleet.order_sender("a").give(endpoint, load("2"), 1) == InForce(1, True)
    fleet.clock.advance(LEASE_SECONDS)
    assert fleet.order_sender("b").give(endpoint, load("2"), 1) == InForce(1, False)
    assert accepted_versions(server) == ["2"]


def pause_past_the_lease(fleet, endpoint, server):
    """Return a function for ``before_send`` that lasts longer than the sender's lease.

    Meanwhile another daemon sends an order to the endpoint, and the endpoint may
    close the connection of the first one.
    """

    def pause():
        fleet.clock.advance(LEASE_SECONDS + 1)
        assert fleet.order_sender("b").give(endpoint, load("3"), 1) == InForce(1, True)
        server.drop_connections()

    return pause


def test_an_endpoint_that_checks_refuses_a_paused_holder(fleet):
    """Guards against an outdated order that replaces a newer one.

    Daemon A is paused just before it sends an order for version 2. Its lease lapses,
    daemon B orders version 3, and A goes on. A's connection is still open, so its order
    arrives, but with the older fencing token, by which the endpoint must refuse it.
    """
    server, endpoint = fleet.start_engine()
    server.drop_connections = lambda: None
    pause = pause_past_the_lease(fleet, endpoint, server)
    assert isinstance(
        fleet.order_sender("a", pause).give(endpoint, load("2"), 1), FencedOff
    )
    assert accepted_versions(server) == ["3"]


def test_an_endpoint_that_does_not_check_never_hears_a_paused_holder(fleet):
    """Guards against an outdated order at an endpoint that checks no tokens.

    Daemon A is paused as above. Before its lease has lapsed, the endpoint closes the
    idle connection over which A has read its state. A must send over that connection
    only, so that its order for version 2 never arrives.
    """
    server, endpoint = fleet.start_engine(checks_fencing=False)
    pause = pause_past_the_lease(fleet, endpoint, server)
    outcome = fleet.order_sender("a", pause).give(endpoint, load("2"), 1)
    assert isinstance(outcome, Unconfirmed)
    assert accepted_versions(server) == ["3"]


class ClosingEngine(BaseHTTPRequestHandler):
    """Answers by HTTP/1.0, so that each connection is closed after its first answer."""

    orders = []

    def do_GET(self):
        self._answer({"incarnation": 1, "models": []})

    def do_POST(self):
        self.orders.append(self.rfile.read(int(self.headers["Content-Length"])))
        self._answer({"incarnation": 1})

    def _answer(self, fields):
        self.send_response(200)
        self.end_headers()
        self.wfile.write(json.dumps(fields).encode())

    def log_message(self, *arguments):
        pass


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_an_endpoint_that_closes_after_each_answer(fleet, checks_fencing):
    """The endpoint closes the connection over which its state was read.

    If it checks fencing tokens, it must get the order over a new connection. If not,
    nothing would limit how late the order may arrive, so it must get none.
    """
    handler = type("Handler", (ClosingEngine,), {"orders": []})
    with ThreadingHTTPServer(("127.0.0.1", 0), handler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        _, endpoint = fleet.start_engine(checks_fencing)
        endpoint = endpoint._replace(address=f"127.0.0.1:{server.server_port}")
        outcome = fleet.order_sender("a").give(endpoint, load("2"), 1)
        server.shutdown()
    if checks_fencing:
        assert outcome == InForce(1, True)
    else:
        assert outcome == NotGiven("not_connected", 0.0)
    assert len(handler.orders) == checks_fencing


def test_a_holder_that_looks_late_sends_nothing(fleet):
    """The endpoint's state arrives when the part of the lease for sending is over."""
    server, endpoint = fleet.start_engine(checks_fencing=False)
    answer = server.standin.core.load

    def slow_load():
        fleet.clock.advance(SEND_WITHIN_SECONDS + 1)
        return answer()

    server.standin.core.load = slow_load
    outcome = fleet.order_sender("a").give(endpoint, load("2"), 1)
    assert outcome == NotGiven("lease_too_old", 0.0)
    assert accepted_versions(server) == []


def test_an_order_without_an_answer_keeps_others_away_until_it_must_have_come(fleet):
    """Guards against an order while an earlier one may still be on its way.

    The answer to the earlier one is lost. Other daemons must send nothing until the
    lease of its sender has lapsed.
    """
    server, endpoint = fleet.start_engine(checks_fencing=False)
    server.standin.faults.set("drop_next_answer", count=1)
    outcome = fleet.order_sender("a").give(endpoint, load("2"), 1)
    assert isinstance(outcome, Unconfirmed)
    assert fleet.order_sender("b").give(endpoint, load("3"), 1) == HeldByOther()
    fleet.clock.advance(LEASE_SECONDS)
    assert fleet.order_sender("b").give(endpoint, load("3"), 1) == InForce(1, True)


def test_the_fleet_gives_few_orders_at_once_and_one_a_failure_domain(fleet):
    _, first = fleet.start_engine()
    _, neighbour = fleet.start_engine(endpoint_id="engine-2", domain="a")
    _, other = fleet.start_engine(endpoint_id="engine-3", domain="b")
    assert fleet.order_sender("a").give(first, load("2"), 2) == InForce(1, True)
    assert fleet.order_sender("b").give(neighbour, load("2"), 2) == HeldByOther()
    assert fleet.order_sender("b").give(other, load("2"), 1) == HeldByOther()
    assert fleet.order_sender("b").give(other, load("2"), 2) == InForce(1, True)


def test_without_the_platform_no_order_is_given(fleet):
    server, endpoint = fleet.start_engine(checks_fencing=False)
    fleet.key_value.faults.set("outage")
    assert isinstance(fleet.order_sender("a").give(endpoint, load("2"), 1), NotGiven)
    fleet.key_value.faults.clear()
    fleet.weight_store._tokens = 0.0
    outcome = fleet.order_sender("a").give(endpoint, load("2"), 1)
    assert outcome == NotGiven("platform_rate_limited", 1.0)
    assert accepted_versions(server) == []


def test_the_controller_rolls_a_version_out(fleet):
    """Guards against a rollout that leaves no engine warm.

    Both report version 1 and operators want version 2. The second engine must get its
    order only after the first one is warm again.
    """
    servers, endpoints_by_id = {}, {}
    for name, domain in (("engine-1", "a"), ("engine-2", "b")):
        server, endpoint = fleet.start_engine(endpoint_id=name, domain=domain)
        server.standin.core.version_by_model = {"drafter": "1"}
        warm(server)
        servers[name], endpoints_by_id[name] = server, endpoint
    configuration = check(document())._replace(services_by_name={})
    models = configuration.models_by_name
    models["drafter"] = models["drafter"]._replace(adapters=())
    controller = ControllerHandle(
        OrderController,
        fleet.order_sender("a"),
        lambda: configuration,
        lambda: endpoints_by_id,
        lambda: {
            name: fetch_load(endpoint, time.monotonic)
            for name, endpoint in endpoints_by_id.items()
        },
        lambda endpoint_id: True,
        fleet.clock,
    )
    controller.tell(OrderController.tick)
    controller.tell(OrderController.tick)
    controller._ref.ask(_nothing())
    assert accepted_versions(servers["engine-1"]) == ["2"]
    assert accepted_versions(servers["engine-2"]) == []
    warm(servers["engine-1"])
    fleet.clock.advance(LEASE_SECONDS)
    controller.tell(OrderController.tick)
    controller._ref.ask(_nothing())
    assert accepted_versions(servers["engine-2"]) == ["2"]
    assert accepted_versions(servers["engine-1"]) == ["2"]
    controller.stop()


def warm(server):
    """Make an engine report at once that it is warm."""
    server.standin.core.turn(EndpointPhase.WARM)


def _nothing():
    return _Call(lambda controller: None, ())
