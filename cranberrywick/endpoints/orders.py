"""Gives orders to endpoints, one daemon at a time, safe when the holder was paused.

An order is given under a lease on ``orders/ENDPOINT``. The revision at which the
key was written is the order's fence: it only grows, so an endpoint that checks it
refuses an order of an earlier holder.

Not every endpoint checks. A holder that is paused after its last look at the clock
could still send its order when it goes on, long after another daemon gave a later
one. For such an endpoint the order goes over the very connection on which its state
was read, in the first part of the lease, and never over a new one. A paused holder
finds that connection closed by the endpoint, which drops idle ones sooner than the
rest of the lease lasts; what it sends goes nowhere. Orders name the state that is
wanted, and each turn compares it with what is reported, so that one which slipped
through all the same is put right.
"""

import http.client
import json
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from cranberrywick.decisions.orders import Order, OrderKind
from cranberrywick.errors import AnswerLost, CranberrywickError, PlatformUnavailable
from cranberrywick.external.key_value import (
    KeyValueStore,
    LeaseLapsed,
    RevisionConflict,
)
from cranberrywick.external.weights import WeightStore
from cranberrywick.model import Endpoint

__all__ = [
    "EngineState",
    "FencedOff",
    "HeldByOther",
    "InForce",
    "NotGiven",
    "OrderOutcome",
    "OrderSender",
    "Unconfirmed",
    "fetch_engine_state",
]

ORDERS_PREFIX = "orders/"
LEASE_SECONDS = 30.0
# An order is sent in the first third of the lease. The rest covers an endpoint that
# drops idle connections within 20 s, and clocks of slightly different speed.
SEND_WITHIN_SECONDS = 10.0
ENDPOINT_TIMEOUT_SECONDS = 5.0
ANSWER_LIMIT_BYTES = 1 << 20

_FAILURES = (OSError, http.client.HTTPException, KeyError, ValueError)


@dataclass(frozen=True)
class InForce:
    """The endpoint is in the wanted state; ``was_ordered`` is False if it was."""

    incarnation: int
    was_ordered: bool


@dataclass(frozen=True)
class FencedOff:
    """The endpoint has seen a later fence and refused."""

    fence: int


@dataclass(frozen=True)
class HeldByOther:
    """Another daemon gives this endpoint an order, or enough others are at it."""


@dataclass(frozen=True)
class NotGiven:
    """Nothing was sent; try again after ``retry_after`` seconds."""

    error_type: str
    retry_after: float


@dataclass(frozen=True)
class Unconfirmed:
    """The order was sent and not answered; the next look at the endpoint tells."""

    error_type: str


OrderOutcome = InForce | FencedOff | HeldByOther | NotGiven | Unconfirmed


class EngineState(NamedTuple):
    """What orders can change of an engine, from its report."""

    version_by_model: dict[str, str]
    adapters: frozenset[str]
    role: str | None


def fetch_engine_state(endpoint: Endpoint) -> EngineState:
    """Ask an engine for its state; raises `AnswerLost`."""
    connection = _connect(endpoint)
    try:
        fields = _call(connection, "GET", "/v1/load", None)
        versions = fields.get("versions", {})
        return EngineState(
            {str(model): str(version) for model, version in versions.items()},
            frozenset(str(adapter) for adapter in fields.get("adapters", ())),
            fields.get("role"),
        )
    except (*_FAILURES, AttributeError, TypeError) as error:
        raise AnswerLost(f"no state of {endpoint.endpoint_id}: {error!r}") from error
    finally:
        connection.close()


class _Held(NamedTuple):
    lease_id: str
    fence: int
    asked_at: float


class OrderSender:
    """Gives one order after another; each call may take several seconds.

    ``clock`` is monotonic; ``before_send`` is called between the last check and the
    send, for tests to pause there.

    >>> order = Order("engine-1", OrderKind.LOAD_MODEL, "drafter", "2")
    >>> order_sender.give(endpoint, order)
    InForce(incarnation=3, was_ordered=True)
    """

    def __init__(
        self,
        key_value: KeyValueStore,
        weights: WeightStore,
        daemon_id: str,
        clock: Callable[[], float] = time.monotonic,
        before_send: Callable[[], None] = lambda: None,
    ):
        self._key_value = key_value
        self._weights = weights
        self._daemon_id = daemon_id
        self._clock = clock
        self._before_send = before_send

    def give(self, endpoint: Endpoint, order: Order, limit: int) -> OrderOutcome:
        """Bring an endpoint into the ordered state.

        ``limit`` is how many endpoints of the fleet may be under an order at once.
        """
        try:
            if order.kind is OrderKind.LOAD_MODEL:
                self._weights.look_up(order.model, order.version)
            held = self._take_lease(endpoint, limit)
        except CranberrywickError as error:
            return NotGiven(error.type, error.retry_after or 0.0)
        if held is None:
            return HeldByOther()
        outcome = self._give_under(held, endpoint, order)
        if not _was_sent(outcome):
            self._end(held)
        # Else the lease is left to lapse: until then reports may not show the order
        # yet, and one without an answer may still be on its way.
        return outcome

    def _take_lease(self, endpoint: Endpoint, limit: int) -> _Held | None:
        asked_at = self._clock()
        lease = self._key_value.grant_lease(LEASE_SECONDS)
        key = ORDERS_PREFIX + endpoint.endpoint_id
        value = f"{self._daemon_id} {secrets.token_hex(8)} {endpoint.failure_domain}"
        try:
            fence = self._key_value.put(
                key, value, expected_revision=0, lease=lease.lease_id
            )
        except (RevisionConflict, LeaseLapsed):
            self._end(_Held(lease.lease_id, 0, asked_at))
            return None
        # A lost answer leaves a key that lapses with its lease; nothing was sent.
        held = _Held(lease.lease_id, fence, asked_at)
        if not self._has_room(endpoint, fence, limit):
            self._end(held)
            return None
        return held

    def _has_room(self, endpoint: Endpoint, fence: int, limit: int) -> bool:
        """Say whether few enough others are under an order, none of this domain.

        Each holder counts those that came before it, so of any number that come
        together exactly the first ones stay.
        """
        entries = self._key_value.list(ORDERS_PREFIX).entries
        earlier = [entry for entry in entries if entry.revision < fence]
        domains = {entry.value.rpartition(" ")[2] for entry in earlier}
        return len(earlier) < limit and endpoint.failure_domain not in domains

    def _end(self, held: _Held) -> None:
        try:
            self._key_value.end_lease(held.lease_id)
        except PlatformUnavailable:
            # It lapses by itself.
            pass

    def _give_under(
        self, held: _Held, endpoint: Endpoint, order: Order
    ) -> OrderOutcome:
        connection = _connect(endpoint)
        try:
            state = _call(connection, "GET", "/v1/load", None)
            if not endpoint.checks_fencing:
                # From here on only this connection will do: by itself the library
                # would open another where the endpoint has closed it, and a paused
                # holder's order would arrive.
                connection.auto_open = 0
            if _is_in_force(state, order):
                return InForce(int(state["incarnation"]), was_ordered=False)
            # The lease counts from before it was asked for, on this clock, so that
            # it ends here no later than on the platform.
            if self._clock() - held.asked_at > SEND_WITHIN_SECONDS:
                return NotGiven("lease_too_old", 0.0)
        except _FAILURES as error:
            connection.close()
            return NotGiven(type(error).__name__, 0.0)
        try:
            self._before_send()
            return _send(connection, order, held.fence)
        except http.client.NotConnected:
            return NotGiven("not_connected", 0.0)
        except _FAILURES as error:
            return Unconfirmed(type(error).__name__)
        finally:
            connection.close()


def _connect(endpoint: Endpoint) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(
        endpoint.address, timeout=ENDPOINT_TIMEOUT_SECONDS
    )


def _call(
    connection: http.client.HTTPConnection, method: str, path: str, fields: dict | None
) -> dict:
    body = json.dumps(fields).encode() if fields is not None else None
    connection.request(method, path, body, {"Content-Type": "application/json"})
    response = connection.getresponse()
    data = response.read(ANSWER_LIMIT_BYTES)
    answer = json.loads(data)
    if not isinstance(answer, dict):
        raise ValueError("the answer is not a JSON object")
    return {**answer, "status": response.status}


def _send(
    connection: http.client.HTTPConnection, order: Order, fence: int
) -> OrderOutcome:
    fields = {"order": order.kind.value, "fence": fence}
    for name in ("model", "version", "adapter", "role"):
        if getattr(order, name) is not None:
            fields[name] = getattr(order, name)
    answer = _call(connection, "POST", "/v1/orders", fields)
    if answer["status"] == 409:
        return FencedOff(int(answer["fence"]))
    if answer["status"] != 200:
        return NotGiven(f"status_{answer['status']}", 0.0)
    return InForce(int(answer["incarnation"]), was_ordered=True)


def _was_sent(outcome: OrderOutcome) -> bool:
    return isinstance(outcome, Unconfirmed) or (
        isinstance(outcome, InForce) and outcome.was_ordered
    )


def _is_in_force(state: dict, order: Order) -> bool:
    """Say whether a load report shows the ordered state already."""
    if order.kind is OrderKind.SET_ROLE:
        return state.get("role") == order.role
    if order.model not in state.get("models", ()):
        return False
    # An engine that tells no versions can't be told to change one, or it would be
    # told again at every turn.
    versions = state.get("versions")
    if versions is not None and versions.get(order.model) != order.version:
        return False
    return order.adapter is None or order.adapter in state.get("adapters", ())
