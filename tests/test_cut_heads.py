"""Answers that an endpoint or a service cuts, after each byte of them.

Guards against a 200 with an empty or a short body that is framed as whole, and against
a refusal that promises that a request has not run, though its statement was cut.
"""

import json
import re
import socket
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from itertools import product

import pytest
import urllib3
from cut_endpoints import FORMS, CutEndpoint, cut_answers
from cut_fleet import running_cut_fleet
from cut_scenes import make_unreached
from fleet import CALLER_KEY, list_vm, running_fleet
from gateway_fleet import (
    PROMPT_HEADERS,
    configuration,
    read_answer,
    request_bytes,
    wait_for,
)
from soak_promises import NOT_RUN_STATUSES
from test_must_hold import BOOKING_PATH
from test_serve_endless import KNOWN_SECONDS, PROMPT, PartlyEndless
from urllib3.exceptions import HTTPError

from cranberrywick.cli.answers import read_body
from cranberrywick.endpoints.client import Call, send
from cranberrywick.endpoints.exchange import COMPLETIONS_PATH
from cranberrywick.endpoints.load import fetch_load
from cranberrywick.endpoints.orders import fetch_engine_state
from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    CranberrywickError,
    PlatformUnavailable,
)
from cranberrywick.external.bounded_http import BoundedPool, bounded_pool_manager
from cranberrywick.external.exchange import PlatformClient

CALLERS = 8
# How often a request is sent that reaches no endpoint.
ROUNDS = 10
SERVE_CALLS = 160
# Bytes that answers lack: of the body, the head's end, and its last header.
MISSING = (1, 15, 17, 20, 36)
ECHOED = ("X-Request-Id", "X-Attempt")
REQUEST_ID = "request-0000"
LENGTH = b"content-length:"
GONE = re.compile(r"endpoint=\S*(?:desk|pool)-1\S* what=gone")


def send_cut(fleet, gateway, prefix, form, missing):
    """Send a request whose answer is cut; return its id and what came back."""
    fields = dict(PROMPT_HEADERS) if prefix == "prompts" else {}
    fields["X-Cut"] = f"{form}:{missing}"
    method = "GET" if prefix == "reads" else "POST"
    request_id = fleet.new_id()
    with fleet.connect(gateway) as connection:
        data = request_bytes(method, f"/{prefix}/1", b"", fields, request_id)
        connection.sendall(data)
        try:
            return request_id, read_answer(connection)
        except (OSError, ValueError, IndexError):
            return request_id, None  # It ended within the head.


def check_cut(fleet, gateway, endpoint, forms, step=1):
    """Send requests whose answers are cut; check what their callers get."""
    cuts = [
        (prefix, form, missing)
        for form in forms
        for prefix in ("reads", "books", "prompts")
        for missing in cut_answers(form, REQUEST_ID)[::step]
    ]
    with ThreadPoolExecutor(CALLERS) as pool:
        for _ in range(ROUNDS):
            answers = list(pool.map(lambda cut: send_cut(fleet, gateway, *cut), cuts))
            met = set(endpoint.cut)
            for cut, (request_id, answer) in zip(cuts, answers, strict=True):
                if request_id in met and answer is not None:
                    check_answer(answer, "{}, {}, without {} bytes".format(*cut))
            # A request that was refused is sent again: each cut has to be met.
            rows = zip(cuts, answers, strict=True)
            cuts = [cut for cut, (request_id, _) in rows if request_id not in met]
    assert cuts == []
    assert "event=request_crashed" not in gateway.log


def check_answer(answer, what):
    """Check that an answer is neither a whole success nor says that nothing ran."""
    is_whole_success = answer.whole and 0 < answer.status < 300
    assert not is_whole_success, f"{what}: {answer}"
    assert answer.status not in NOT_RUN_STATUSES, f"{what}: {answer}"


def is_cut(gateway):
    """Whether a gateway knows no endpoints but those that cut their answers."""
    gone = "".join(GONE.findall(gateway.log))
    return "desk-1" in gone and "pool-1" in gone and "version=2" in gateway.log


@contextmanager
def cut_fleet(path, gateways=1):
    """Run gateways before one endpoint of each service, which cuts its answers."""
    with running_cut_fleet(path, gateways, desks=1, engines=1) as fleet:
        fields = configuration(2)
        for each in fields["routes"]:
            each["maxAttempts"] = 1
        fleet.configure(fields)
        endpoint = CutEndpoint()
        for number, service in enumerate(("desk", "pool")):
            fleet.endpoints[f"cut-{number}"] = endpoint
            fleet.register(f"cut-{number}", service, slots=64)
            whole = fleet.endpoints.pop(f"{service}-1")
            fleet.on_loop(fleet.store.remove, f"servers/{service}-1")
            fleet.on_loop(whole.stop)
        for gateway in fleet.gateways:
            wait_for(lambda each=gateway: is_cut(each), "the endpoints to be known")
        yield fleet, endpoint


@pytest.mark.parametrize("form", FORMS)
def test_a_cut_answer_is_no_whole_one(tmp_path, form):
    """Guards against answers of endpoints that are cut and framed as whole."""
    with cut_fleet(tmp_path) as (fleet, endpoint):
        check_cut(fleet, fleet.gateways[0], endpoint, [form])


def test_a_cut_answer_is_no_whole_one_through_a_peer(tmp_path):
    """Guards against answers that a peer forwards as whole though they were cut."""
    with cut_fleet(tmp_path, gateways=2) as (fleet, endpoint):
        make_unreached(fleet, fleet.gateways[0])
        check_cut(fleet, fleet.gateways[0], endpoint, FORMS, step=7)
        assert "event=peer_request_ended" in fleet.gateways[1].log


class CutService:
    """Sends a given answer to each request, and closes the connection."""

    def __init__(self):
        self.answer = b""
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return  # It was stopped.
            with connection:
                connection.settimeout(5.0)
                # What is left unread would turn the close into a reset.
                with connection.makefile("rb") as file:
                    lines = list(iter(file.readline, b"\r\n"))
                    lengths = [x for x in lines if x.lower().startswith(LENGTH)]
                    file.read(sum(int(x[len(LENGTH) :]) for x in lengths))
                connection.sendall(self.answer)

    def stop(self):
        self._listener.close()


@pytest.fixture
def service():
    service = CutService()
    yield service
    service.stop()


def head_of(status, *lines):
    """Return the head of an answer to `call_of`."""
    own = [f"HTTP/1.1 {status}", f"X-Request-Id: {REQUEST_ID}", "X-Attempt: 1", *lines]
    return "\r\n".join([*own, "", ""]).encode()


def call_of(stream=False, idempotent=False, path="/slots"):
    return Call(
        REQUEST_ID, 1, "POST", path, b"{}", {}, 5.0, idempotent, stream, owner="d1"
    )


REFUSAL = json.dumps({"error": {"type": "full"}}).encode()
SERVE_FORMS = {
    "length": (head_of("200 OK", "Content-Length: 5"), b"whole"),
    "empty": (head_of("200 OK", "Content-Length: 0"), b""),
    "chunks": (
        head_of("200 OK", "Transfer-Encoding: chunked"),
        b"0005\r\nwhole\r\n0\r\n\r\n",
    ),
    "unframed": (head_of("200 OK"), b""),
    "stream": (
        head_of(
            "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
        ),
        b"0008\r\ndata: x\n\r\n0\r\n\r\n",
    ),
    "refusal": (
        head_of("503 Service Unavailable", f"Content-Length: {len(REFUSAL)}"),
        REFUSAL,
    ),
}


@pytest.mark.parametrize("form", SERVE_FORMS)
@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
def test_a_cut_answer_is_no_whole_one_for_serve(service, form, kind):
    """Guards against the end of a connection that counts as the end of a head."""
    head, body = SERVE_FORMS[form]
    whole = head + body
    # Nothing tells whether an answer without a length is whole.
    cuts = range(len(whole) + (form == "unframed"))
    call = call_of(stream=kind == "stream", idempotent=kind == "safe")
    for size in cuts:
        service.answer = whole[:size]
        with pytest.raises((AnswerLost, AmbiguousSend)):
            answer = send(service.address, call)
            try:
                list(answer.chunks())
            finally:
                answer.close_connection()
            pytest.fail(f"whole after {size} bytes: {whole[:size]!r}")


def test_whole_answers_are_whole_for_serve(service):
    """Guards against sound answers that count as cut."""
    for status, lines, body in (
        ("200 OK", ["Content-Length: 5"], b"whole"),
        ("204 No Content", [], b""),
        ("404 Not Found", ["Content-Length: 0"], b""),
        ("200 OK", ["Transfer-Encoding: chunked"], b"5\r\nwhole\r\n0\r\n\r\n"),
    ):
        service.answer = head_of(status, *lines) + body
        answer = send(service.address, call_of())
        assert b"".join(answer.chunks()) == (b"whole" if body else b"")
        answer.close_connection()


def test_a_cut_answer_of_a_service_is_none(service):
    """Guards against an answer of the store that is read though it was cut."""
    body = b'{"revision": 1}'
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    client = PlatformClient((f"http://{service.address}",))
    for size in range(len(whole)):
        service.answer = whole[:size]
        for method in ("GET", "POST"):
            with pytest.raises(PlatformUnavailable):
                client.call(method, "/", fields={} if method == "POST" else None)
    service.answer = whole
    assert client.call("GET", "/").fields == {"revision": 1}


class _Endpoint:
    """The fields of an endpoint that orders and reports need."""

    endpoint_id = "engine-1"
    checks_fencing = True

    def __init__(self, address):
        self.address = address


def test_a_cut_answer_to_an_order_or_a_report_is_none(service):
    """Guards against a state of an engine that is read though it was cut."""
    state = {"versions": {}, "adapters": [], "role": None, "incarnation": 1}
    body = json.dumps({**state, "phase": "ready"}).encode()
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    endpoint = _Endpoint(service.address)
    for size in range(len(whole)):
        service.answer = whole[:size]
        with pytest.raises(AnswerLost):
            fetch_engine_state(endpoint)
        with pytest.raises(CranberrywickError):
            fetch_load(endpoint, time.monotonic)
    service.answer = whole
    assert fetch_engine_state(endpoint).role is None


def test_a_cut_answer_is_no_whole_one_for_the_command_line(service):
    """Guards against an empty answer that a command prints as the service's."""
    host, _, port = service.address.rpartition(":")
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
    for size in range(len(whole)):
        service.answer = whole[:size]
        pool = BoundedPool(host, int(port), maxsize=1)
        with pytest.raises((HTTPError, AnswerLost)):
            read_body(pool.urlopen("GET", "/", retries=False, preload_content=False))
        with pytest.raises(HTTPError):
            bounded_pool_manager(retries=False).request(
                "GET", f"http://{service.address}/"
            )
    service.answer = b"HTTP/1.1 200 OK\r\n\r\n"
    pool = BoundedPool(host, int(port), maxsize=1)
    with pytest.raises(AnswerLost):
        read_body(pool.urlopen("GET", "/", retries=False, preload_content=False))


class CutSlots(PartlyEndless):
    """Sends its answers without their last bytes, ``missing`` of them."""

    def __init__(self, missing, sound_address):
        self.missing = missing
        super().__init__("chunked", sound_address)

    def first_answer(self, request):
        if request.target not in ("/slots", COMPLETIONS_PATH):
            return super().first_answer(request)
        body = b'{"booking": 1}'
        lines = [f"{name}: {request.headers[name.lower()]}" for name in ECHOED]
        head = ["HTTP/1.1 200 OK", *lines, f"Content-Length: {len(body)}", "", ""]
        whole = "\r\n".join(head).encode() + body
        self.endless_runs += 1
        return whole[: -self.missing]


def test_a_daemon_of_serve_forwards_no_cut_answer(tmp_path):
    """Guards against calls that are answered by a 200 whose body never came."""
    with running_fleet(tmp_path, daemons=1) as fleet:
        (daemon,) = fleet.daemons
        endpoints = []
        kinds = [("slots", fleet.services[0]), ("drafting", fleet.engines[0])]
        for number, (missing, (kind, sound)) in enumerate(product(MISSING, kinds)):
            endpoints.append(CutSlots(missing, sound.address))
            fields = {"kind": kind, "address": endpoints[-1].address}
            list_vm(fleet.vm_list, f"cut-{number}", "endpoint", number, fields)
        time.sleep(KNOWN_SECONDS)
        statuses = Counter()
        for number in range(SERVE_CALLS):
            answer = send_to_serve(daemon, number)
            statuses[answer.status] += 1
            assert answer.status in (200, 502, 503), answer.status
            if answer.status == 200:
                whole = json.loads(answer.data.replace(b"data: ", b"").split(b"\n")[0])
                assert "booking" in whole or "id" in whole
        assert sum(each.endless_runs > 0 for each in endpoints) > len(MISSING)
        assert statuses[200] > SERVE_CALLS / 2


def send_to_serve(daemon, number, key=""):
    """Make a call, by odd numbers, or send a prompt to a daemon of ``serve``."""
    path, body = (
        (BOOKING_PATH, {"tube": 7}) if number % 2 else (COMPLETIONS_PATH, PROMPT)
    )
    return urllib3.request(
        "POST",
        f"http://{daemon.address}{path}",
        body=json.dumps(body).encode(),
        headers={
            "Authorization": f"Bearer {CALLER_KEY}",
            "Idempotency-Key": key or f"key-{number}",
        },
        retries=False,
        timeout=70.0,
    )
