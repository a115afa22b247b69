"""The gateway on real processes: what callers and endpoints see."""

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
def all_well(fleet):
    yield
    for endpoint in fleet.endpoints.values():
        endpoint.behaviour = "well"
        endpoint.work_seconds = 0.005
    # Endpoints that failed rest for some seconds; the next test starts without.
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


def ended_line(gateway, request_id):
    """Return the line that a gateway logs at a request's end, empty before it."""
    for line in gateway.log.splitlines():
        if "event=request_ended" in line and f"request_id={request_id} " in line:
            return line
    return ""


def desks(fleet, behaviour):
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

    def test_a_callers_own_organisation_is_not_believed(self, fleet):
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
    def test_what_is_not_allowed_reaches_no_endpoint(
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

    def test_bytes_that_are_no_request_are_answered_400(self, fleet):
        with fleet.connect(fleet.gateways[0]) as connection:
            connection.sendall(b"no request\r\n\r\n")
            assert read_answer(connection).status == 400

    def test_a_head_that_does_not_end_is_answered_408(self, fleet):
        with fleet.connect(fleet.gateways[0]) as connection:
            connection.sendall(b"GET /reads/1 HTTP/1.1\r\nHost: ")
            assert read_answer(connection).status == 408


class TestAtMostOnce:
    def test_a_reset_after_the_run_is_not_repeated(self, fleet):
        """The caller sees 502 and knows that its booking may have been made.

        The endpoint runs the booking and resets the connection. Sent again, the
        booking would be made twice; answered 503, the caller would send it again.
        """
        desks(fleet, "reset")
        request_id = fleet.new_id()
        answer = fleet.call(
            fleet.gateways[0], "POST", "/books/1", b"x", request_id=request_id
        )
        assert answer.status == 502
        assert fleet.runs(request_id) == 1

    def test_a_read_is_sent_to_another_endpoint(self, fleet):
        """The caller sees its answer, though the first endpoint broke the connection.

        A read may run twice, so its failure at one endpoint is no reason to fail.
        """
        set_behaviour(fleet, "reset", "desk-1")
        for _ in range(4):
            assert fleet.call(fleet.gateways[0], "GET", "/reads/1").status == 200

    def test_full_endpoints_end_in_a_promise_that_is_true(self, fleet):
        """The caller sees 503 with a time to come back, and nothing has run.

        Both endpoints refuse. What they say of not having run may be passed on.
        """
        desks(fleet, "full")
        request_id = fleet.new_id()
        answer = fleet.call(
            fleet.gateways[0], "POST", "/books/1", b"x", request_id=request_id
        )
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert fleet.runs(request_id) == 0

    def test_a_hung_booking_ends_with_its_time_and_no_promise(self, fleet):
        """The caller sees 504 when its time is over, not later.

        The endpoint has the booking and stays silent: whether it runs is unknown.
        """
        desks(fleet, "hang")
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
        """Operators find from a request's id where it hung.

        The endpoint never answers, so nothing but the gateway's own line can say.
        """
        desks(fleet, "hang")
        request_id = fleet.new_id()
        headers = {"Cranberrywick-Deadline-Ms": "700"}
        gateway = fleet.gateways[0]
        fleet.call(gateway, "POST", "/books/1", b"x", headers, request_id)
        wait_for(lambda: ended_line(gateway, request_id), "the request's line")
        assert "endpoint=desk" in ended_line(gateway, request_id)


class TestAnswers:
    @pytest.mark.parametrize("behaviour", ["other", "short", "noise"])
    def test_what_is_not_the_answer_never_reaches_the_caller(self, fleet, behaviour):
        """The caller sees a failure and never bytes that are not its answer.

        Both endpoints answer with another request's id, with fewer bytes than they
        announce, or with bytes that are no answer at all.
        """
        desks(fleet, behaviour)
        answer = fleet.call(fleet.gateways[0], "POST", "/books/1", b"x")
        assert answer.status == 502
        assert "cranberrywick-response-seal" not in answer.headers

    def test_a_second_answer_goes_to_nobody(self, fleet):
        """Each caller sees its own answer, also after one that came twice.

        An endpoint sends every answer twice. On a kept connection the second one
        would meet the next request; connections are not kept.
        """
        desks(fleet, "twice")
        for _ in range(4):
            request_id = fleet.new_id()
            answer = fleet.call(
                fleet.gateways[0], "POST", "/books/1", b"x", request_id=request_id
            )
            assert answer.body == f"answer to {request_id}".encode()

    def test_a_body_without_a_length_gets_one(self, fleet):
        desks(fleet, "unframed")
        answer = fleet.call(fleet.gateways[0], "GET", "/reads/1")
        assert answer.whole and answer.body.startswith(b"answer to ")

    def test_an_endpoints_own_failure_is_passed_on(self, fleet):
        """The caller sees the endpoint's 500 with its seal, not one of the gateway.

        Both endpoints run the read and answer 500; neither will do better.
        """
        desks(fleet, "failing")
        answer = fleet.call(fleet.gateways[0], "GET", "/reads/1")
        assert answer.status == 500
        assert answer.headers["cranberrywick-response-seal"].startswith("seal.desk")


class TestStreams:
    def test_a_stream_comes_whole(self, fleet):
        answer = fleet.call(
            fleet.gateways[0], "POST", "/prompts/1", b"p", PROMPT_HEADERS
        )
        assert answer.whole and answer.body == STREAM

    @pytest.mark.parametrize("engine", ["engine-1", "engine-2"])
    def test_a_cut_stream_goes_on_elsewhere(self, fleet, engine):
        """The caller sees one whole stream, no piece missing or twice.

        The first engine breaks off in the middle of its fourth event; the other goes
        on after the third, the last that was passed on whole.
        """
        set_behaviour(fleet, "cut", engine)
        for _ in range(3):
            answer = fleet.call(
                fleet.gateways[0], "POST", "/prompts/1", b"p", PROMPT_HEADERS
            )
            assert answer.whole and answer.body == STREAM

    def test_a_stream_that_cannot_go_on_does_not_look_whole(self, fleet):
        """The caller sees its stream end without the final chunk.

        Both engines break off: what is missing must not look like the end.
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
        """Nobody works for a caller that has left.

        The caller closes its connection while an endpoint works; the gateway closes
        its own to the endpoint, which drops the request.
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
    def test_memory_of_two_engines_is_reserved_and_given_back(self, fleet):
        """The caller of a prompt above one engine's memory sees its whole answer.

        Half of the memory is reserved at a second engine for as long as the answer
        is written, and given back with its end.
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
        """No engine keeps memory for a caller that has left.

        The caller closes while the prompt is read; the reservation is released.
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

    def test_a_prompt_goes_on_without_the_helper_that_refuses(self, fleet):
        """The caller sees its whole answer though one of two engines takes nothing.

        The engine that is sound is asked first, names the other as a helper, and
        refuses for the other's fault. Held against it, the request went to the other
        one next, was refused there too and had then had all its endpoints.
        """
        fleet.endpoints["engine-2"].behaviour = "full"
        headers = {**PROMPT_HEADERS, "Cranberrywick-Token-Count": "150000,1000"}
        headers["Cranberrywick-Deadline-Ms"] = "8000"
        for _ in range(6):
            answer = fleet.call(fleet.gateways[0], "POST", "/prompts/1", b"p", headers)
            assert answer.whole and answer.body == STREAM
            time.sleep(0.6)  # Until the engine at fault has rested.

    def test_a_prompt_that_never_fits_is_refused_at_once(self, fleet):
        """The caller sees a refusal at once and does not wait for its deadline.

        Two engines hold 600,000 tokens; no wait makes room for a million.
        """
        headers = {**PROMPT_HEADERS, "Cranberrywick-Token-Count": "1000000,1000"}
        started = time.monotonic()
        answer = fleet.call(fleet.gateways[0], "POST", "/prompts/1", b"p", headers)
        assert answer.status == 503
        assert time.monotonic() - started < 1.0


def reserved(fleet):
    return sum(fleet.on_loop(lambda e=e: e.reserved) for e in fleet.endpoints.values())


class TestState:
    def test_the_directory_names_the_gateways_that_live(self, fleet):
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
    def test_a_gateway_that_the_store_turns_away_hears_from_the_other(
        self, fleet, mode
    ):
        """Callers of either gateway see a revoked key refused, and a new one served.

        The store turns one gateway away and serves the other, which passes the news
        on: without that, the first would go by what it knew before.
        """
        version = {"busy": 20, "silent": 40, "reset": 60}[mode]
        turned_away = fleet.gateways[0]
        fleet.store.modes_by_listener[turned_away.name] = mode
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
                return fleet.call(turned_away, "GET", "/reads/1", headers=headers)

            wait_for(lambda: call(headers).status == 200, "the new key")
            assert call({}).status == 401
            assert time.monotonic() - written < 2.0
        finally:
            fleet.store.modes_by_listener[turned_away.name] = "open"
            fleet.configure(configuration(version=version + 10))
            wait_for(
                lambda: all(
                    fleet.call(g, "GET", "/reads/1").status == 200
                    for g in fleet.gateways
                ),
                "the old key",
            )

    def test_an_endpoint_that_is_leaving_gets_nothing_after_its_last_moment(
        self, fleet
    ):
        """Callers see answers throughout; the leaving endpoint sees none of them.

        An endpoint says that it is draining. Two seconds later it may be gone.
        """
        fleet.register("desk-1", "desk", state="draining")
        time.sleep(1.5)
        before = sum(fleet.endpoints["desk-1"].runs.values())
        for gateway in fleet.gateways:
            for _ in range(5):
                assert fleet.call(gateway, "GET", "/reads/1").status == 200
        assert sum(fleet.endpoints["desk-1"].runs.values()) == before
        fleet.register("desk-1", "desk")

    def test_a_failure_domain_that_is_out_gets_nothing(self, fleet):
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

    def test_an_address_taken_over_by_another_endpoint_runs_nothing(self, fleet):
        """The caller sees its answer, from the endpoint that was meant.

        A record's address now belongs to another endpoint. The request names whom
        it means, the other refuses, and the gateway asks the next.
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
    def test_each_request_has_one_last_line_with_what_decided_it(self, fleet):
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
        assert HOST  # The host is no secret, and is not needed there either.


class TestStop:
    def test_a_planned_stop_cuts_no_request(self, tmp_path):
        """Callers see whole answers while their gateway stops.

        A stream runs when SIGTERM comes, and a kept connection sends one more request
        after it. The gateway leaves the directory at once, serves both and ends.
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

    def test_a_gateway_without_a_configuration_refuses_and_promises(self, tmp_path):
        """The caller sees 503 with a time to come back, not 404.

        The gateway has just started and the store turns it away: which routes there
        are is not known, which is no reason to say that there are none.
        """
        with running_gateways(tmp_path, gateways=0) as fleet:
            gateway = fleet.start_gateway("alone", wait=False, store_mode="busy")
            wait_for(lambda: "event=store_lost" in gateway.log, "the refusal")
            answer = fleet.call(gateway, "GET", "/reads/1")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) >= 1

    def test_a_gateway_that_starts_while_the_store_is_away_serves(self, tmp_path):
        """The caller is served by a gateway that has never reached the store.

        One gateway runs, another starts and is turned away by the store. The first
        tells it the configuration and the endpoints.
        """
        with running_gateways(tmp_path, gateways=1) as fleet:
            fleet.store.modes_by_listener[fleet.gateways[0].name] = "busy"
            late = fleet.start_gateway("late", store_mode="busy")
            assert fleet.call(late, "GET", "/reads/1").status == 200

    def test_a_gateway_that_restarts_while_the_store_is_away_serves(self, tmp_path):
        """Callers are served by a gateway that restarts under its old name.

        The others know it from before; they must tell it again what they know. Until
        it knows endpoints, the directory does not send callers to it.
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
        """Guards against refusals while the configuration is on its way.

        After the whole fleet has lost power, callers connect to daemons that began to
        listen a moment ago and have not read a large configuration yet.
        """
        with running_gateways(tmp_path, gateways=0) as fleet:
            started = fleet.start_gateway("started", wait=False, store_mode="slow")
            wait_for(lambda: "gateway_started" in started.log, "it to listen")
            assert fleet.call(started, "GET", "/reads/1").status == 200

    def test_one_that_reads_nothing_refuses_at_once_after_its_start(self, tmp_path):
        """Guards against callers who wait for a daemon that knows nothing."""
        with running_gateways(tmp_path, gateways=0) as fleet:
            started = fleet.start_gateway("started", wait=False, store_mode="silent")
            wait_for(lambda: "gateway_started" in started.log, "it to listen")
            time.sleep(1.5)
            before = time.monotonic()
            assert fleet.call(started, "GET", "/reads/1").status == 503
            assert time.monotonic() - before < 0.5

    def test_the_directory_does_not_name_a_gateway_that_is_not_ready(self, tmp_path):
        """Callers are not sent to a gateway that would refuse all of them.

        It has started while neither the store nor a peer could tell it of endpoints.
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
