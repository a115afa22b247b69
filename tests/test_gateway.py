"""Tests of real gateway processes: what callers and endpoints receive."""

import signal
import time

import pytest
from click.testing import CliRunner
from gateway_fleet import (
    HOST,
    PROMPT_HEADERS,
    configuration,
    read_answer,
    request_bytes,
    route,
    running_gateways,
    wait_for,
)

from cranberrywick.cli.main import main

STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 9))


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_gateways(tmp_path_factory.mktemp("fleet"), gateways=2) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def reset_endpoints(fleet):
    yield
    for endpoint in fleet.endpoints.values():
        endpoint.behaviour = "well"
        endpoint.work_seconds = 0.005
    # Endpoints that failed get no requests for some seconds. The next test must start
    # with all of them in use.
    wait_for(
        lambda: all(
            fleet.call(gateway, "GET", "/reads/after").status == 200
            for gateway in fleet.gateways
        ),
        "endpoints to be used again",
    )


def set_behaviour(fleet, behaviour, *endpoint_ids):
    for endpoint_id in endpoint_ids:
        fleet.endpoints[endpoint_id].behaviour = behaviour


def end_line(gateway, request_id):
    """Return the last log line of a request, empty until it has been written."""
    for line in gateway.log.splitlines():
        if "event=request_ended" in line and f"request_id={request_id} " in line:
            return line
    return ""


def set_desks(fleet, behaviour):
    set_behaviour(fleet, behaviour, "desk-1", "desk-2")


class TestForwarding:
    def test_method_target_and_body_arrive_unchanged(self, fleet):
        target = "/books/a%2Fb/..%20/x?q=1&q=%20&empty="
        body = bytes(range(256))
        request_id = fleet.new_id()
        fleet.call(fleet.gateways[0], "PUT", target, body, request_id=request_id)
        seen = [
            (method, path, headers, data)
            for endpoint in fleet.endpoints.values()
            for method, path, headers, data in endpoint.heads
            if headers.get("cranberrywick-request-id") == request_id
        ]
        assert len(seen) == 1
        method, path, headers, data = seen[0]
        assert (method, path, data) == (b"PUT", target.encode(), body)
        assert "authorization" not in headers
        assert headers["cranberrywick-tenant"] == "kask"
        assert 4000 < int(headers["cranberrywick-deadline-ms"]) <= 5000

    def test_a_chunked_body_arrives_whole(self, fleet):
        request_id = fleet.new_id()
        with fleet.connect(fleet.gateways[0]) as connection:
            head = request_bytes("POST", "/books/1", b"", {}, request_id)
            head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            connection.sendall(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            assert read_answer(connection).status == 200
        bodies = [
            data
            for endpoint in fleet.endpoints.values()
            for _, _, headers, data in endpoint.heads
            if headers.get("cranberrywick-request-id") == request_id
        ]
        assert bodies == [b"abcde"]

    def test_an_organisation_set_by_the_caller_is_replaced(self, fleet):
        request_id = fleet.new_id()
        headers = {"Cranberrywick-Tenant": "someone-else"}
        fleet.call(
            fleet.gateways[0],
            "GET",
            "/reads/1",
            headers=headers,
            request_id=request_id,
        )
        seen = [
            headers["cranberrywick-tenant"]
            for endpoint in fleet.endpoints.values()
            for _, _, headers, _ in endpoint.heads
            if headers.get("cranberrywick-request-id") == request_id
        ]
        assert seen == ["kask"]

    def test_a_connection_serves_many_requests(self, fleet):
        with fleet.connect(fleet.gateways[0]) as connection:
            for _ in range(3):
                request_id = fleet.new_id()
                connection.sendall(
                    request_bytes("GET", "/reads/1", b"", {}, request_id)
                )
                answer = read_answer(connection)
                assert answer.body == f"answer to {request_id}".encode()

    @pytest.mark.parametrize(
        ("target", "headers", "status"),
        [
            ("/nowhere/1", {}, 404),
            ("/reads", {}, 404),
            ("/reads/1", {"Host": "other.example"}, 404),
            ("/reads/1", {"Authorization": "Token unknown"}, 401),
            ("/reads/1", {"Authorization": ""}, 401),
            ("/reads/1", {"X-Long": "x" * 8000}, 431),
        ],
    )
    def test_a_request_that_is_not_allowed_reaches_no_endpoint(
        self, fleet, target, headers, status
    ):
        request_id = fleet.new_id()
        answer = fleet.call(
            fleet.gateways[0], "GET", target, headers=headers, request_id=request_id
        )
        assert answer.status == status
        assert fleet.runs(request_id) == 0

    def test_a_body_above_the_limit_is_refused(self, fleet):
        answer = fleet.call(fleet.gateways[0], "POST", "/books/1", b"x" * 200_000)
        assert answer.status == 413

    def test_bytes_that_are_not_a_request_are_answered_400(self, fleet):
        with fleet.connect(fleet.gateways[0]) as connection:
            connection.sendall(b"no request\r\n\r\n")
            assert read_answer(connection).status == 400

    def test_a_head_that_does_not_end_is_answered_408(self, fleet):
        with fleet.connect(fleet.gateways[0]) as connection:
            connection.sendall(b"GET /reads/1 HTTP/1.1\r\nHost: ")
            assert read_answer(connection).status == 408


class TestAtMostOnce:
    def test_a_reset_after_the_run_is_not_repeated(self, fleet):
        """Guards against bookings that are made twice.

        The endpoint runs the booking and then resets the connection. If the gateway
        sent it again, it would be made twice; if it answered 503, the caller would
        send it again. The answer must be 502: the booking may have been made.
        """
        set_desks(fleet, "reset")
        request_id = fleet.new_id()
        answer = fleet.call(
            fleet.gateways[0], "POST", "/books/1", b"x", request_id=request_id
        )
        assert answer.status == 502
        assert fleet.runs(request_id) == 1

    def test_a_read_is_sent_to_another_endpoint(self, fleet):
        """Guards against reads that fail because one endpoint does.

        One endpoint resets the connection. A read may run twice, so it is sent to the
        other endpoint.
        """
        set_behaviour(fleet, "reset", "desk-1")
        for _ in range(4):
            assert fleet.call(fleet.gateways[0], "GET", "/reads/1").status == 200

    def test_full_endpoints_are_answered_503_and_nothing_runs(self, fleet):
        """Guards against answers that leave open whether a refused request ran.

        Both endpoints answer that they have not run the request. The caller gets 503
        with Retry-After, which says the same.
        """
        set_desks(fleet, "full")
        request_id = fleet.new_id()
        answer = fleet.call(
            fleet.gateways[0], "POST", "/books/1", b"x", request_id=request_id
        )
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert fleet.runs(request_id) == 0

    def test_a_booking_at_a_hung_endpoint_is_answered_504_at_its_deadline(self, fleet):
        """Guards against callers that wait longer than their deadline.

        The endpoint has received the booking and does not answer, so it is unknown
        whether the booking was made: the caller gets 504.
        """
        set_desks(fleet, "hang")
        started = time.monotonic()
        answer = fleet.call(
            fleet.gateways[0],
            "POST",
            "/books/1",
            b"x",
            {"Cranberrywick-Deadline-Ms": "700"},
        )
        assert answer.status == 504
        assert 0.5 < time.monotonic() - started < 2.0

    def test_the_log_names_the_endpoint_at_which_a_request_timed_out(self, fleet):
        """Guards against logs that don't show where the request with an id hung.

        The endpoint never answers, so only the gateway's log line can name it.
        """
        set_desks(fleet, "hang")
        request_id = fleet.new_id()
        headers = {"Cranberrywick-Deadline-Ms": "700"}
        gateway = fleet.gateways[0]
        fleet.call(gateway, "POST", "/books/1", b"x", headers, request_id)
        wait_for(lambda: end_line(gateway, request_id), "the request's line")
        assert "endpoint=desk" in end_line(gateway, request_id)


class TestAnswers:
    @pytest.mark.parametrize("behaviour", ["other", "short", "noise"])
    def test_an_invalid_answer_never_reaches_the_caller(self, fleet, behaviour):
        """Guards against callers that get bytes which are not their answer.

        Both endpoints answer with another request's id, with fewer bytes than their
        Content-Length says, or with bytes that are not an HTTP answer.
        """
        set_desks(fleet, behaviour)
        answer = fleet.call(fleet.gateways[0], "POST", "/books/1", b"x")
        assert answer.status == 502
        assert "cranberrywick-response-seal" not in answer.headers

    def test_a_second_answer_is_never_forwarded(self, fleet):
        """Guards against a caller that gets the answer to an earlier request.

        Endpoints send every answer twice. On a reused connection the second copy would
        be read as the answer to the next request; connections are not reused.
        """
        set_desks(fleet, "twice")
        for _ in range(4):
            request_id = fleet.new_id()
            answer = fleet.call(
                fleet.gateways[0], "POST", "/books/1", b"x", request_id=request_id
            )
            assert answer.body == f"answer to {request_id}".encode()

    def test_a_body_without_a_length_gets_one(self, fleet):
        set_desks(fleet, "unframed")
        answer = fleet.call(fleet.gateways[0], "GET", "/reads/1")
        assert answer.whole and answer.body.startswith(b"answer to ")

    def test_an_error_answer_of_an_endpoint_is_forwarded(self, fleet):
        """Guards against gateway errors that hide the answer of the endpoint.

        Both endpoints run the read and answer 500. The caller gets the endpoint's
        answer with its seal, as another attempt would not help.
        """
        set_desks(fleet, "failing")
        answer = fleet.call(fleet.gateways[0], "GET", "/reads/1")
        assert answer.status == 500
        assert answer.headers["cranberrywick-response-seal"].startswith("seal.desk")


class TestStreams:
    def test_a_stream_is_forwarded_completely(self, fleet):
        answer = fleet.call(
            fleet.gateways[0], "POST", "/prompts/1", b"p", PROMPT_HEADERS
        )
        assert answer.whole and answer.body == STREAM

    @pytest.mark.parametrize("engine", ["engine-1", "engine-2"])
    def test_an_interrupted_stream_continues_at_another_endpoint(self, fleet, engine):
        """Guards against events that are missing, repeated or cut in a resumed stream.

        The first engine closes in the middle of its fourth event. The other one
        continues after the third, the last event that was forwarded.
        """
        set_behaviour(fleet, "cut", engine)
        for _ in range(3):
            answer = fleet.call(
                fleet.gateways[0], "POST", "/prompts/1", b"p", PROMPT_HEADERS
            )
            assert answer.whole and answer.body == STREAM

    def test_a_stream_that_cannot_continue_does_not_look_complete(self, fleet):
        """Guards against callers that take part of a stream for all of it.

        Both engines close in the middle of the stream. The caller's connection must
        then close without the final chunk.
        """
        set_behaviour(fleet, "cut", "engine-1", "engine-2")
        answer = fleet.call(
            fleet.gateways[0], "POST", "/prompts/1", b"p", PROMPT_HEADERS
        )
        assert not answer.whole
        assert STREAM.startswith(answer.body)


class TestCallersThatLeave:
    @pytest.mark.parametrize(
        ("target", "headers"), [("/books/1", {}), ("/prompts/1", PROMPT_HEADERS)]
    )
    def test_their_work_ends(self, fleet, target, headers):
        """Guards against endpoints that work on answers which no caller will read.

        The caller closes its connection while an endpoint works. The gateway closes
        its connection to the endpoint, which then drops the request.
        """
        for endpoint in fleet.endpoints.values():
            endpoint.work_seconds = 5.0
        request_id = fleet.new_id()
        with fleet.connect(fleet.gateways[0]) as connection:
            connection.sendall(request_bytes("POST", target, b"x", headers, request_id))
            wait_for(lambda: fleet.runs(request_id) == 1, "the request to run")
        left = time.monotonic()
        wait_for(
            lambda: all(request_id not in e.at_work for e in fleet.endpoints.values()),
            "the work to end",
        )
        assert time.monotonic() - left < 0.5


class TestLongPrompts:
    def test_memory_of_a_second_engine_is_reserved_and_released(self, fleet):
        """Guards against failures of prompts that exceed the memory of one engine.

        Half of the memory is reserved at a second engine while the answer is written,
        and released at its end.
        """
        headers = {**PROMPT_HEADERS, "Cranberrywick-Token-Count": "400000,1000"}
        headers["Cranberrywick-Deadline-Ms"] = "8000"
        answer = fleet.call(fleet.gateways[0], "POST", "/prompts/1", b"p", headers)
        assert answer.whole and answer.body == STREAM
        helpers = [
            headers["cranberrywick-helpers"]
            for endpoint in fleet.endpoints.values()
            for _, _, headers, _ in endpoint.heads
            if headers.get("cranberrywick-token-count") == "400000,1000"
        ]
        assert len(helpers) == 1 and "/" in helpers[0]
        wait_for(lambda: reserved(fleet) == 0, "the memory to be free")

    def test_memory_is_free_soon_after_the_caller_has_left(self, fleet):
        """Guards against engines that keep memory for a caller that has left.

        The caller closes its connection during the prefill, and the reservation must
        be released.
        """
        fleet.endpoints["engine-1"].work_seconds = 5.0
        fleet.endpoints["engine-2"].work_seconds = 5.0
        headers = {**PROMPT_HEADERS, "Cranberrywick-Token-Count": "400000,1000"}
        with fleet.connect(fleet.gateways[0]) as connection:
            connection.sendall(
                request_bytes("POST", "/prompts/1", b"p", headers, fleet.new_id())
            )
            wait_for(lambda: reserved(fleet) > 0, "memory to be reserved")
        left = time.monotonic()
        wait_for(lambda: reserved(fleet) == 0, "the memory to be free")
        assert time.monotonic() - left < 1.0

    def test_a_prompt_is_answered_without_the_helper_that_refuses(self, fleet):
        """Guards against prompts that fail because of one faulty helper.

        The request is sent to a working engine with the faulty one as its helper, and
        the working engine refuses it because of the helper. When this was recorded as
        a failure of the working engine, the request was sent to the faulty one next,
        refused there too, and had then used all the endpoints that it may be sent to.
        """
        fleet.endpoints["engine-2"].behaviour = "full"
        headers = {**PROMPT_HEADERS, "Cranberrywick-Token-Count": "150000,1000"}
        headers["Cranberrywick-Deadline-Ms"] = "8000"
        for _ in range(6):
            answer = fleet.call(fleet.gateways[0], "POST", "/prompts/1", b"p", headers)
            assert answer.whole and answer.body == STREAM
            time.sleep(0.6)  # Until the cooldown of the faulty engine is over.

    def test_a_prompt_that_never_fits_is_refused_at_once(self, fleet):
        """Guards against callers that wait until their deadline for a certain refusal.

        The two engines hold 600,000 tokens together, so a prompt of a million never
        fits.
        """
        headers = {**PROMPT_HEADERS, "Cranberrywick-Token-Count": "1000000,1000"}
        started = time.monotonic()
        answer = fleet.call(fleet.gateways[0], "POST", "/prompts/1", b"p", headers)
        assert answer.status == 503
        assert time.monotonic() - started < 1.0


def reserved(fleet):
    return sum(fleet.on_loop(lambda e=e: e.reserved) for e in fleet.endpoints.values())


class TestState:
    def test_the_directory_lists_the_gateways_that_are_alive(self, fleet):
        fronts = sorted(gateway.front for gateway in fleet.gateways)
        for gateway in fleet.gateways:
            wait_for(lambda g=gateway: fleet.addresses(g) == fronts, "both addresses")

    def test_a_new_version_is_in_force_within_two_seconds(self, fleet):
        changed = configuration(version=5)
        changed["routes"].append(route("added", "safe", "desk"))
        fleet.configure(changed)
        written = time.monotonic()
        for gateway in fleet.gateways:
            wait_for(
                lambda g=gateway: fleet.call(g, "GET", "/added/1").status == 200,
                "the new route",
            )
        assert time.monotonic() - written < 2.0

    def test_an_older_version_changes_nothing(self, fleet):
        fleet.configure(configuration(version=3))
        time.sleep(1.0)
        assert fleet.call(fleet.gateways[0], "GET", "/added/1").status == 200
        fleet.configure({**configuration(version=6)})
        wait_for(
            lambda: fleet.call(fleet.gateways[0], "GET", "/added/1").status == 404,
            "the newest version",
        )

    def test_a_document_that_cannot_be_read_changes_nothing(self, fleet):
        fleet.on_loop(fleet.store.put, "op/config", b"{broken")
        time.sleep(1.0)
        assert fleet.call(fleet.gateways[0], "GET", "/reads/1").status == 200
        fleet.configure(configuration(version=8))

    def test_malformed_records_name_no_endpoint(self, fleet):
        for number, value in enumerate([b"{", b"[]", b'{"service": 7}', b"\xff"]):
            fleet.on_loop(fleet.store.put, f"servers/broken-{number}", value)
        time.sleep(1.0)
        for _ in range(4):
            assert fleet.call(fleet.gateways[0], "GET", "/reads/1").status == 200

    @pytest.mark.parametrize("mode", ["busy", "silent", "reset"])
    def test_a_gateway_that_the_store_refuses_gets_updates_from_another(
        self, fleet, mode
    ):
        """Guards against a gateway that goes on with an old configuration.

        The store refuses one gateway and serves the other, which sends it the new
        configuration. A revoked key must then be refused and a new one accepted.
        """
        version = {"busy": 20, "silent": 40, "reset": 60}[mode]
        refused = fleet.gateways[0]
        fleet.store.modes_by_listener[refused.name] = mode
        try:
            key = f"key-{version}"
            fleet.configure(
                configuration(
                    version=version,
                    tenants=[{"name": "kask", "apiKeys": [key], "priority": 1}],
                )
            )
            written = time.monotonic()
            headers = {"Authorization": f"Token {key}"}

            def call(headers):
                return fleet.call(refused, "GET", "/reads/1", headers=headers)

            wait_for(lambda: call(headers).status == 200, "the new key")
            assert call({}).status == 401
            assert time.monotonic() - written < 2.0
        finally:
            fleet.store.modes_by_listener[refused.name] = "open"
            fleet.configure(configuration(version=version + 10))
            wait_for(
                lambda: all(
                    fleet.call(g, "GET", "/reads/1").status == 200
                    for g in fleet.gateways
                ),
                "the old key",
            )

    def test_an_endpoint_that_is_leaving_gets_no_requests_after_its_bound(self, fleet):
        """Guards against requests to an endpoint that may already have stopped.

        An endpoint's record says that it is draining. Two seconds later, the bound in
        the settings, the endpoint may be gone. Callers get answers throughout.
        """
        fleet.register("desk-1", "desk", state="draining")
        time.sleep(1.5)
        before = sum(fleet.endpoints["desk-1"].runs.values())
        for gateway in fleet.gateways:
            for _ in range(5):
                assert fleet.call(gateway, "GET", "/reads/1").status == 200
        assert sum(fleet.endpoints["desk-1"].runs.values()) == before
        fleet.register("desk-1", "desk")

    def test_a_failure_domain_that_is_out_gets_no_requests(self, fleet):
        fleet.register("desk-2", "desk", zone="b")
        fleet.on_loop(fleet.store.put_json, "op/evacuate/b", {})
        time.sleep(2.0)
        before = sum(fleet.endpoints["desk-2"].runs.values())
        for gateway in fleet.gateways:
            for _ in range(5):
                assert fleet.call(gateway, "GET", "/reads/1").status == 200
        assert sum(fleet.endpoints["desk-2"].runs.values()) == before
        fleet.on_loop(fleet.store.remove, "op/evacuate/b")
        fleet.register("desk-2", "desk")
        wait_for(
            lambda: (
                fleet.call(fleet.gateways[0], "GET", "/reads/1").status == 200
                and sum(fleet.endpoints["desk-2"].runs.values()) > before
            ),
            "the domain to be used again",
        )

    def test_an_endpoint_that_took_over_an_address_runs_nothing(self, fleet):
        """Guards against requests that run at another endpoint than the intended one.

        The address of a record now belongs to another endpoint. The request names the
        intended endpoint, so that the other one refuses it, and the gateway sends it
        to the next.
        """
        fleet.endpoints["desk-1"].endpoint_id = "somebody-else"
        try:
            for _ in range(4):
                answer = fleet.call(fleet.gateways[0], "POST", "/books/1", b"x")
                assert answer.status == 200
                seal = answer.headers["cranberrywick-response-seal"]
                assert seal == "seal.desk-2"
        finally:
            fleet.endpoints["desk-1"].endpoint_id = "desk-1"


class TestLogs:
    def test_each_request_has_one_last_line_with_its_outcome(self, fleet):
        request_id = fleet.new_id()
        fleet.call(fleet.gateways[0], "GET", "/reads/1", request_id=request_id)

        def lines():
            return [
                line
                for line in fleet.gateways[0].log.splitlines()
                if "event=request_ended" in line and f"id={request_id} " in line
            ]

        wait_for(lambda: lines(), "the line")
        (line,) = lines()
        for part in ("outcome=completed", "status=200", "version=", "endpoints_age="):
            assert part in line

    def test_no_key_is_logged(self, fleet):
        assert "a-key" not in fleet.gateways[0].log
        assert HOST  # Not a secret: the log may hold it.


class TestStop:
    def test_a_planned_stop_interrupts_no_request(self, tmp_path):
        """Guards against answers that are cut when a gateway stops.

        A stream is being sent when SIGTERM comes, and an idle connection sends one more
        request after it. The gateway leaves the directory at once, serves both and
        ends.
        """
        with running_gateways(tmp_path, gateways=2) as fleet:
            stopping, other = fleet.gateways
            for engine in ("engine-1", "engine-2"):
                fleet.endpoints[engine].event_seconds = 0.2
            kept = fleet.connect(stopping)
            stream = fleet.connect(stopping)
            stream_id = fleet.new_id()
            stream.sendall(
                request_bytes("POST", "/prompts/1", b"p", PROMPT_HEADERS, stream_id)
            )
            wait_for(lambda: fleet.runs(stream_id) == 1, "the stream to run")
            stopping.process.send_signal(signal.SIGTERM)
            wait_for(
                lambda: fleet.addresses(other) == [other.front], "it to be left out"
            )
            assert not fleet.is_ready(stopping)
            kept.sendall(request_bytes("GET", "/reads/1", b"", {}, fleet.new_id()))
            answer = read_answer(kept)
            assert answer.status == 200
            assert answer.headers["connection"] == "close"
            assert read_answer(stream).body == STREAM
            assert stopping.process.wait(10) == 0

    def test_a_gateway_without_a_configuration_answers_503(self, tmp_path):
        """Guards against a 404 for a route that is only not known yet.

        The gateway has just started and the store refuses it, so the routes are not
        known. The answer is 503 with Retry-After instead of 404.
        """
        with running_gateways(tmp_path, gateways=0) as fleet:
            gateway = fleet.start_gateway("alone", wait=False, store_mode="busy")
            wait_for(lambda: "event=store_lost" in gateway.log, "the refusal")
            answer = fleet.call(gateway, "GET", "/reads/1")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) >= 1

    def test_a_gateway_that_starts_while_the_store_is_away_serves(self, tmp_path):
        """Guards against a gateway that can't serve before it has reached the store.

        One gateway runs, and another starts and is refused by the store. The first one
        sends it the configuration and the endpoints.
        """
        with running_gateways(tmp_path, gateways=1) as fleet:
            fleet.store.modes_by_listener[fleet.gateways[0].name] = "busy"
            late = fleet.start_gateway("late", store_mode="busy")
            assert fleet.call(late, "GET", "/reads/1").status == 200

    def test_a_gateway_that_restarts_while_the_store_is_away_serves(self, tmp_path):
        """Guards against a restarted gateway that gets no state from its peers.

        The gateway restarts under its old name while the store refuses all gateways.
        Peers that sent it their state before must send it again. Until it knows
        endpoints, the directory does not list it.
        """
        with running_gateways(tmp_path, gateways=2) as fleet:
            other, restarted = fleet.gateways
            both = sorted([other.front, restarted.front])
            wait_for(lambda: fleet.addresses(other) == both, "both to be known")
            for gateway in fleet.gateways:
                fleet.store.modes_by_listener[gateway.name] = "busy"
            restarted.process.kill()
            restarted.process.wait()
            restarted = fleet.gateways[1] = fleet.restart(restarted)
            fleet.wait_ready(restarted)
            assert fleet.call(restarted, "GET", "/reads/1").status == 200
            wait_for(lambda: fleet.addresses(other) == both, "it to be named again")

    def test_a_gateway_that_has_just_started_serves_its_first_callers(self, tmp_path):
        """Guards against refusals while the first configuration is being read.

        After the whole fleet has lost power, callers connect to daemons that have just
        started to listen and have not finished reading a large configuration.
        """
        with running_gateways(tmp_path, gateways=0) as fleet:
            started = fleet.start_gateway("started", wait=False, store_mode="slow")
            wait_for(lambda: "gateway_started" in started.log, "it to listen")
            assert fleet.call(started, "GET", "/reads/1").status == 200

    def test_a_gateway_without_answers_of_the_store_refuses_at_once(self, tmp_path):
        """Guards against callers that wait at a daemon without a configuration.

        The store does not answer. After the time that a start may take, requests are
        refused at once.
        """
        with running_gateways(tmp_path, gateways=0) as fleet:
            started = fleet.start_gateway("started", wait=False, store_mode="silent")
            wait_for(lambda: "gateway_started" in started.log, "it to listen")
            time.sleep(1.5)
            before = time.monotonic()
            assert fleet.call(started, "GET", "/reads/1").status == 503
            assert time.monotonic() - before < 0.5

    def test_the_directory_does_not_list_a_gateway_that_is_not_ready(self, tmp_path):
        """Guards against callers that are sent to a gateway which refuses everything.

        The gateway has started while neither the store nor a peer knows endpoints.
        """
        with running_gateways(tmp_path, gateways=1) as fleet:
            fleet.on_loop(fleet.store.remove, "op/config")
            for name in list(fleet.endpoints):
                fleet.on_loop(fleet.store.remove, f"servers/{name}")
            (gateway,) = fleet.gateways
            wait_for(lambda: not fleet.is_ready(gateway), "it to know of none")
            late = fleet.start_gateway("late", wait=False)
            wait_for(lambda: "peer_met" in late.log, "the meeting")
            time.sleep(1.0)
            assert fleet.addresses(gateway) == [gateway.front]


def test_the_demonstration_serves_three_requests_and_ends():
    result = CliRunner().invoke(main, ["gateway-demo"])
    assert result.exit_code == 0, result.output
    assert result.output.count(": 200 after") == 3
