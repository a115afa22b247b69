"""Sends orders to endpoints, one daemon at a time, safely even if one is paused.

An order is sent under a lease on the key ``orders/ENDPOINT``. The revision at which
the key was written is the order's fencing token: revisions only grow, so an endpoint
that checks the token refuses an order of an earlier lease holder.

Not every endpoint checks it. A holder that is paused after its last check of the
clock could send its order on resuming, long after another daemon sent a later one.
For an endpoint without the check, the order is therefore sent only in the first part
of the lease, on the connection on which the endpoint's state was read, and never on
a new one. This relies on the endpoint to close idle connections sooner than the rest
of the lease lasts: a holder that was paused until the lease ended finds its connection
closed, and its order does not arrive.

An order names the wanted state, and the daemons compare it with the reported state
repeatedly. This corrects an outdated order that arrived in spite of these measures.
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
from cranberrywick.external.bounded_http import BoundedResponse
from cranberrywick.external.key_value import (
    KeyValueStore,
    LeaseLapsed,
    RevisionConflict,
)
from cranberrywick.external.weights import WeightStore
from cranberrywick.fields import FIELD_ERRORS
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
# Time after the request for the lease within which an order is sent, in seconds. It
# is a third of the lease; the rest covers an endpoint that closes idle connections
# within 20 s, and clocks that run at slightly different speeds.
SEND_WITHIN_SECONDS = 10.0
ENDPOINT_TIMEOUT_SECONDS = 5.0
ANSWER_LIMIT_BYTES = 1 << 20

_REQUEST_ERRORS = (OSError, http.client.HTTPException, *FIELD_ERRORS)


@dataclass(frozen=True)
class InForce:
    """The endpoint is in the wanted state.

    ``was_ordered`` is False if it was in that state already and no order was sent.
    """

    incarnation: int
    was_ordered: bool


@dataclass(frozen=True)
class FencedOff:
    """The endpoint refused the order, since it has seen ``fence``, a later token."""

    fence: int


@dataclass(frozen=True)
class HeldByOther:
    """Nothing was sent, because other orders are under way.

    Either this endpoint or another one of its failure domain is under an order, or
    as many endpoints of the fleet are as the ``limit`` of `OrderSender.give` allows.
    The outcome is the same if the lease lapsed before its key was written.
    """


@dataclass(frozen=True)
class NotGiven:
    """The order was not sent, or the endpoint answered it with an error status.

    It can be tried again after ``retry_after`` seconds.
    """

    error_type: str
    retry_after: float


@dataclass(frozen=True)
class Unconfirmed:
    """The order may have arrived, but there was no usable answer.

    A later load report shows whether it took effect.
    """

    error_type: str


OrderOutcome = InForce | FencedOff | HeldByOther | NotGiven | Unconfirmed


class EngineState(NamedTuple):
    """The part of an engine's load report that orders can change."""

    version_by_model: dict[str, str]
    adapters: frozenset[str]
    role: str | None


def fetch_engine_state(endpoint: Endpoint) -> EngineState:
    """Request an engine's state from ``/v1/load``; raises `AnswerLost`."""
    connection = _connect(endpoint)
    try:
        fields = _request_json(connection, "GET", "/v1/load", None)
        versions = fields.get("versions", {})
        return EngineState(
            {str(model): str(version) for model, version in versions.items()},
            frozenset(str(adapter) for adapter in fields.get("adapters", ())),
            fields.get("role"),
        )
    except _REQUEST_ERRORS as error:
        raise AnswerLost(f"no state of {endpoint.endpoint_id}: {error!r}") from error
    finally:
        connection.close()


class _HeldLease(NamedTuple):
    lease_id: str
    fence: int
    asked_at: float


class OrderSender:
    """Sends orders to endpoints, each under a lease of its own.

    ``clock`` is monotonic seconds; ``before_send`` is called between the last check
    and the send, so that a test can pause there. A call of `give` may take several
    seconds.

    >>> order = Order("engine-1", OrderKind.LOAD_MODEL, "drafter", "2")
    >>> order_sender.give(endpoint, order, limit=4)
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
        """Bring an endpoint into the ordered state and return the outcome.

        ``limit`` is the largest number of the fleet's endpoints that may be under an
        order at the same time.
        """
        try:
            if order.kind is OrderKind.LOAD_MODEL:
                self._weights.look_up(order.model, order.version)
            held = self._take_lease(endpoint, limit)
        except CranberrywickError as error:
            return NotGiven(error.type, error.retry_after or 0.0)
        if held is None:
            return HeldByOther()
        outcome = self._send_under_lease(held, endpoint, order)
        if not _was_sent(outcome):
            self._end_lease(held)
        # After a send that the endpoint did not refuse, the lease is kept until it
        # expires: reports may not show the effect yet, and an unanswered order may
        # still be in transit.
        return outcome

    def _take_lease(self, endpoint: Endpoint, limit: int) -> _HeldLease | None:
        asked_at = self._clock()
        lease = self._key_value.grant_lease(LEASE_SECONDS)
        key = ORDERS_PREFIX + endpoint.endpoint_id
        value = f"{self._daemon_id} {secrets.token_hex(8)} {endpoint.failure_domain}"
        try:
            fence = self._key_value.put(
                key, value, expected_revision=0, lease=lease.lease_id
            )
        except (RevisionConflict, LeaseLapsed):
            self._end_lease(_HeldLease(lease.lease_id, 0, asked_at))
            return None
        # A lost answer raises and leaves a key that expires with its lease; no order
        # was sent under it.
        held = _HeldLease(lease.lease_id, fence, asked_at)
        if not self._has_room(endpoint, fence, limit):
            self._end_lease(held)
            return None
        return held

    def _has_room(self, endpoint: Endpoint, fence: int, limit: int) -> bool:
        """Return whether another order is allowed in the fleet and in this domain.

        That is so if fewer than ``limit`` endpoints are under an order and none of
        them is in this endpoint's failure domain. Each holder counts only the keys
        written before its own, so that of several simultaneous holders the earliest
        proceed.
        """
        entries = self._key_value.list(ORDERS_PREFIX).entries
        earlier = [entry for entry in entries if entry.revision < fence]
        domains = {entry.value.rpartition(" ")[2] for entry in earlier}
        return len(earlier) < limit and endpoint.failure_domain not in domains

    def _end_lease(self, held: _HeldLease) -> None:
        try:
            self._key_value.end_lease(held.lease_id)
        except PlatformUnavailable:
            # The lease expires by itself.
            pass

    def _send_under_lease(
        self, held: _HeldLease, endpoint: Endpoint, order: Order
    ) -> OrderOutcome:
        connection = _connect(endpoint)
        try:
            state = _request_json(connection, "GET", "/v1/load", None)
            if not endpoint.checks_fencing:
                # Only this connection may be used from here on. By default the
                # library reconnects when the endpoint has closed the connection, and
                # a paused holder's order would arrive.
                connection.auto_open = 0
            if _is_in_force(state, order):
                return InForce(int(state["incarnation"]), was_ordered=False)
            # The lease's time counts from before the request for it, so that by this
            # clock it ends no later than on the platform.
            if self._clock() - held.asked_at > SEND_WITHIN_SECONDS:
                return NotGiven("lease_too_old", 0.0)
        except _REQUEST_ERRORS as error:
            connection.close()
            return NotGiven(type(error).__name__, 0.0)
        try:
            self._before_send()
            return _post_order(connection, order, held.fence)
        except http.client.NotConnected:
            return NotGiven("not_connected", 0.0)
        except _REQUEST_ERRORS as error:
            return Unconfirmed(type(error).__name__)
        finally:
            connection.close()


def _connect(endpoint: Endpoint) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(
        endpoint.address, timeout=ENDPOINT_TIMEOUT_SECONDS
    )
    connection.response_class = BoundedResponse
    return connection


def _request_json(
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


def _post_order(
    connection: http.client.HTTPConnection, order: Order, fence: int
) -> OrderOutcome:
    fields = {"order": order.kind.value, "fence": fence}
    for name in ("model", "version", "adapter", "role"):
        if getattr(order, name) is not None:
            fields[name] = getattr(order, name)
    answer = _request_json(connection, "POST", "/v1/orders", fields)
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
    """Return whether a load report shows the ordered state already."""
    if order.kind is OrderKind.SET_ROLE:
        return state.get("role") == order.role
    if order.model not in state.get("models", ()):
        return False
    # An engine that reports no versions counts as up to date: the effect of an order
    # for another version would never show, so the order would be sent repeatedly.
    versions = state.get("versions")
    if versions is not None and versions.get(order.model) != order.version:
        return False
    return order.adapter is None or order.adapter in state.get("adapters", ())
