"""What requests keep when they go to endpoints through a peer."""

import re
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from cut_fleet import MODES, running_cut_fleet
from gateway_fleet import (
    KEY,
    PROMPT_HEADERS,
    configuration,
    read_answer,
    request_bytes,
    wait_for,
)
from test_cut_from_endpoints import call_all, served

from cranberrywick.errors import PlatformUnavailable
from cranberrywick.gateway.forwarded_statements import (
    RequestStatement,
    decode_answer_statement,
    encode_request_statement,
)
from cranberrywick.model import Executed

# Time within which endpoints stop work whose caller has gone.
GONE_SECONDS = 0.5


def make_unreached(fleet, gateway, mode="refuse"):
    """Cut a gateway and wait until its peers know that it reaches no endpoint."""
    fleet.cut(gateway, mode)

    def is_known():
        call_all(fleet, gateway, 8)
        unreached = set(re.findall(r"service=(\w+) reach=none", gateway.log))
        return unreached == {"desk", "pool"}

    wait_for(is_known, "the cut to be noticed")


def forwarded_to(fleet, request_id):
    """Return the names of the gateways that served a request of a peer."""
    return [
        gateway.name
        for gateway in fleet.gateways
        for line in gateway.log.splitlines()
        if "event=peer_request_ended" in line and f"request_id={request_id} " in line
    ]


def test_a_forwarded_request_reaches_the_endpoint_unchanged(tmp_path):
    """Guards against a peer that changes the request, or passes on the key."""
    with running_cut_fleet(tmp_path) as fleet:
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        headers = {"X-Own": "a, b", "Content-Type": "text/x", "Connection": "X-Hop"}
        headers |= {"X-Hop": "1", "Forwarding-Statement": "mine", "Last-Event-Id": "0"}
        body = bytes(range(256)) * 200
        started = time.monotonic()
        answer = fleet.call(
            cut, "PUT", "/books/a%20b?q=%2F&r", body, headers, "unchanged"
        )
        assert answer.status == 200
        assert answer.headers["cranberrywick-response-seal"].startswith("seal.desk")
        assert answer.body == b"answer to unchanged"
        assert "forwarding-statement" not in answer.headers
        (head,) = [
            head
            for endpoint in fleet.endpoints.values()
            for head in endpoint.heads
            if head[2]["cranberrywick-request-id"] == "unchanged"
        ]
        method, target, received, received_body = head
        assert (method, target) == (b"PUT", b"/books/a%20b?q=%2F&r")
        assert received_body == body
        assert received["x-own"] == "a, b" and received["content-type"] == "text/x"
        assert received["forwarding-statement"] == "mine"
        assert received["cranberrywick-tenant"] == "kask"
        assert KEY not in str(received) and "authorization" not in received
        assert "x-hop" not in received and "expect" not in received
        left = int(received["cranberrywick-deadline-ms"])
        assert 5000 - 1000 * (time.monotonic() - started) - 50 <= left <= 5000
        assert forwarded_to(fleet, "unchanged")


def test_a_stream_through_a_peer_is_whole_and_in_order(tmp_path):
    """Guards against events that are lost, doubled or held back on the way."""
    with running_cut_fleet(tmp_path) as fleet:
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        for endpoint in fleet.endpoints.values():
            endpoint.events = 40
        answer = fleet.call(cut, "POST", "/prompts/1", b"{}", PROMPT_HEADERS, "stream")
        assert answer.status == 200 and answer.whole
        events = [f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 41)]
        assert answer.body.decode() == "".join(events)
        assert fleet.runs("stream") == 1


def test_work_stops_at_the_endpoint_when_the_caller_of_a_peer_leaves(tmp_path):
    """Guards against endpoints that work on for a caller that has gone."""
    with running_cut_fleet(tmp_path) as fleet:
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        for endpoint in fleet.endpoints.values():
            endpoint.work_seconds = 20.0

        def at_work():
            return {r for e in fleet.endpoints.values() for r in e.at_work}

        for method, target, headers in (
            ("POST", "/prompts/1", PROMPT_HEADERS),
            ("GET", "/reads/1", {}),
        ):
            request_id = fleet.new_id()
            with fleet.connect(cut) as connection:
                connection.sendall(
                    request_bytes(method, target, b"", headers, request_id)
                )
                wait_for(lambda: request_id in at_work(), "the endpoint to begin")  # noqa: B023
            left_at = time.monotonic()
            wait_for(lambda: request_id not in at_work(), "the endpoint to stop")  # noqa: B023
            assert time.monotonic() - left_at < GONE_SECONDS


def serve_while(fleet, cut, target, headers, disturb):
    """Call a cut gateway while ``disturb`` is done to the peer that serves it."""
    method = "GET" if target.startswith("/reads") else "POST"
    with ThreadPoolExecutor(1) as pool:
        request_id = fleet.new_id()
        future = pool.submit(fleet.call, cut, method, target, b"", headers, request_id)

        def serving():
            return [
                e
                for e in fleet.endpoints.values()
                if request_id in e.at_work and e.runs[request_id]
            ]

        wait_for(lambda: bool(serving()), "the endpoint to begin")
        (peer,) = [
            gateway
            for gateway in fleet.gateways
            if gateway is not cut and f"request_id={request_id}" not in gateway.log
            if is_connected(gateway, serving()[0])
        ][:1]
        disturb(peer)
        return request_id, future.result()


def is_connected(gateway, endpoint):
    """Whether a gateway process has a connection to an endpoint."""
    port = f"{int(endpoint.address.rpartition(':')[2]):04X}"
    inodes = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[2].endswith(f":{port}") and fields[3] == "01":
            inodes.add(f"socket:[{fields[9]}]")
    links = Path(f"/proc/{gateway.process.pid}/fd")
    for link in links.iterdir():
        try:
            if str(link.readlink()) in inodes:
                return True
        except OSError:
            continue
    return False


def test_a_peer_is_killed_while_it_serves_a_call(tmp_path):
    """Guards against a call that runs twice, or a refusal of one that has run."""
    with running_cut_fleet(tmp_path, gateways=4) as fleet:
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        for endpoint in fleet.endpoints.values():
            endpoint.work_seconds = 0.5
        request_id, answer = serve_while(
            fleet, cut, "/books/1", {}, lambda peer: peer.process.kill()
        )
        assert fleet.runs(request_id) == 1
        assert answer.status == 502
        request_id, answer = serve_while(
            fleet, cut, "/reads/1", {}, lambda peer: peer.process.kill()
        )
        assert answer.status == 200 and fleet.runs(request_id) == 2


def test_a_peer_is_killed_in_the_middle_of_a_stream(tmp_path):
    """Guards against a stream that breaks off although another peer could go on."""
    with running_cut_fleet(tmp_path) as fleet:
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        for endpoint in fleet.endpoints.values():
            endpoint.events, endpoint.event_seconds = 30, 0.05

        def kill_later(peer):
            time.sleep(0.4)
            peer.process.kill()

        request_id, answer = serve_while(
            fleet, cut, "/prompts/1", PROMPT_HEADERS, kill_later
        )
        assert answer.status == 200 and answer.whole
        events = [f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 31)]
        assert answer.body.decode() == "".join(events)
        assert fleet.runs(request_id) == 2


def test_a_peer_that_stops_ends_what_it_serves_for_others(tmp_path):
    """Guards against requests of peers that are cut by a planned stop."""
    with running_cut_fleet(tmp_path) as fleet:
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        for endpoint in fleet.endpoints.values():
            endpoint.work_seconds = 4.5
        request_id, answer = serve_while(
            fleet,
            cut,
            "/books/1",
            {},
            lambda peer: peer.process.send_signal(signal.SIGTERM),
        )
        assert answer.status == 200 and fleet.runs(request_id) == 1
        for endpoint in fleet.endpoints.values():
            endpoint.work_seconds = 0.005
        assert len(served(call_all(fleet, cut))) == 40


def test_a_frozen_peer_runs_nothing_when_it_wakes(tmp_path):
    """Guards against a call that a frozen peer runs after another one has served it."""
    with running_cut_fleet(tmp_path, gateways=3) as fleet:
        cut, frozen, _ = fleet.gateways
        make_unreached(fleet, cut)
        frozen.process.send_signal(signal.SIGSTOP)
        try:
            answers = call_all(fleet, cut)
        finally:
            frozen.process.send_signal(signal.SIGCONT)
        assert len(served(answers)) == len(answers)
        time.sleep(1.0)
        for request_id in answers:
            assert fleet.runs(request_id) == 1


def test_all_gateways_are_cut(tmp_path):
    """Guards against requests that are held or passed round where nobody serves."""
    with running_cut_fleet(tmp_path) as fleet:
        for gateway in fleet.gateways:
            make_unreached(fleet, gateway, "hang")
        time.sleep(0.5)
        for gateway in fleet.gateways:
            forwarded = gateway.log.count("event=request_forwarded")
            started = time.monotonic()
            answers = call_all(fleet, gateway)
            assert time.monotonic() - started < 1.0
            assert {a.status for a in answers.values()} == {503}
            assert all(float(a.headers["retry-after"]) > 0 for a in answers.values())
            assert gateway.log.count("event=request_forwarded") == forwarded
        for gateway in fleet.gateways:
            fleet.restore(gateway)
        restored_at = time.monotonic()
        for gateway in fleet.gateways:
            wait_for(
                lambda: fleet.call(gateway, "GET", "/reads/1").status == 200,  # noqa: B023
                "answers after the cut",
            )
        assert time.monotonic() - restored_at < 2.0


@pytest.mark.parametrize("mode", MODES)
def test_requests_go_directly_again_after_a_cut(tmp_path, mode):
    """Guards against a VM that burdens its peers after its links are back.

    All endpoints get requests again, not only the first one that was reached.
    """
    with running_cut_fleet(tmp_path) as fleet:
        cut, *others = fleet.gateways
        make_unreached(fleet, cut, mode)
        fleet.restore(cut)
        wait_for(
            lambda: cut.log.count("reach=full before=") >= 2, "both services reached"
        )
        served_by_peers = [g.log.count("event=peer_request_ended") for g in others]
        answers = call_all(fleet, cut, 60)
        assert len(served(answers)) == 60
        assert served_by_peers == [
            g.log.count("event=peer_request_ended") for g in others
        ]
        for number in (1, 2, 3):
            runs = fleet.endpoints[f"desk-{number}"].runs
            assert sum(runs[request_id] for request_id in answers) >= 5


def test_a_cut_vm_takes_no_endpoint_out_of_use_at_others(tmp_path):
    """Guards against endpoints that peers avoid for the cut of one VM.

    Calls are under way when the links fall silent, and time out.
    """
    with running_cut_fleet(tmp_path) as fleet:
        cut, other, _ = fleet.gateways
        for endpoint in fleet.endpoints.values():
            endpoint.work_seconds = 0.4
        with ThreadPoolExecutor(6) as pool:
            headers = {"Cranberrywick-Deadline-Ms": "1500"}
            calls = [
                pool.submit(fleet.call, cut, "POST", "/books/1", b"", headers)
                for _ in range(6)
            ]
            time.sleep(0.2)
            fleet.cut(cut, "hang")
            for endpoint in fleet.endpoints.values():
                endpoint.work_seconds = 0.005
            call_all(fleet, cut, 16)
            assert {call.result().status for call in calls} <= {200, 502, 504}
        assert "endpoint_pace_changed" not in cut.log
        answers = call_all(fleet, other, 60)
        assert len(served(answers)) == 60
        for endpoint_id in ("desk-1", "desk-2", "desk-3"):
            runs = fleet.endpoints[endpoint_id].runs
            assert sum(runs[request_id] for request_id in answers) >= 5, endpoint_id


def test_an_endpoint_that_is_dead_for_all_is_not_taken_for_a_cut(tmp_path):
    """Guards against requests forwarded, or refused, for endpoints that died."""
    with running_cut_fleet(tmp_path) as fleet:
        fleet.on_loop(fleet.endpoints["desk-1"].stop)
        fleet.on_loop(fleet.endpoints["desk-2"].stop)
        for gateway in fleet.gateways:
            answers = call_all(fleet, gateway)
            assert len(served(answers)) == len(answers)
        for gateway in fleet.gateways:
            assert "reach=none" not in gateway.log


def test_an_endpoint_that_falls_silent_for_a_second_loses_nothing(tmp_path):
    """Guards against requests that fail since a sound endpoint paused."""
    with running_cut_fleet(tmp_path, engines=2) as fleet:
        gateway = fleet.gateways[0]
        for endpoint in fleet.endpoints.values():
            endpoint.events, endpoint.event_seconds = 40, 0.05
        with ThreadPoolExecutor(8) as pool:
            ids = [fleet.new_id() for _ in range(8)]
            calls = [
                pool.submit(
                    fleet.call, gateway, "POST", "/prompts/1", b"", PROMPT_HEADERS, each
                )
                for each in ids
            ]
            time.sleep(0.5)
            fleet.cut(gateway, "hang")
            time.sleep(1.2)
            fleet.restore(gateway)
            answers = [call.result() for call in calls]
        assert all(a.status == 200 and a.whole for a in answers)
        assert all(fleet.runs(each) == 1 for each in ids)


def test_an_endpoint_that_drains_gets_nothing_through_a_peer(tmp_path):
    """Guards against work that a peer sends to an endpoint that is about to stop."""
    with running_cut_fleet(tmp_path) as fleet:
        cut, *others = fleet.gateways
        make_unreached(fleet, cut)
        draining = fleet.endpoints["desk-1"]
        draining.draining = True
        wait_for(
            lambda: call_all(fleet, cut, 8) and "draining_announced" in cut.log,
            "the announcement",
        )
        time.sleep(0.3)
        before = sum(draining.runs.values())
        call_all(fleet, cut, 60)
        assert sum(draining.runs.values()) == before
        fleet.restore(cut)
        time.sleep(1.0)
        call_all(fleet, cut, 60)
        assert sum(draining.runs.values()) == before


def test_a_domain_that_is_out_gets_nothing_through_a_peer(tmp_path):
    """Guards against work for a failure domain that operators have taken out."""
    with running_cut_fleet(tmp_path) as fleet:
        fleet.add_endpoint("desk-b", "desk", "b")
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        fleet.on_loop(fleet.store.put_json, "op/evacuate/b", {})
        wait_for(lambda: "domains_out_changed" in cut.log, "the change")
        time.sleep(0.5)
        runs = fleet.endpoints["desk-b"].runs
        before = sum(runs.values())
        assert len(served(call_all(fleet, cut, 60))) == 60
        assert sum(runs.values()) == before


def test_a_backoff_that_a_peer_was_asked_for_holds_for_forwarded_requests(tmp_path):
    """Guards against requests of a cut VM that reach an endpoint in its backoff."""
    with running_cut_fleet(tmp_path, gateways=2) as fleet:
        cut, _ = fleet.gateways
        make_unreached(fleet, cut)
        endpoint = fleet.endpoints["desk-1"]
        endpoint.retry_afters.append("2")
        wait_for(lambda: call_all(fleet, cut, 8) and endpoint.backoffs, "the backoff")
        time.sleep(0.5)
        begun = len(endpoint.arrivals)
        until = time.monotonic() + 1.2
        while time.monotonic() < until:
            call_all(fleet, cut, 8)
        assert len(endpoint.arrivals) == begun


def test_the_links_between_a_cut_gateway_and_a_peer_are_whole(tmp_path):
    """Guards against callers that wait for a peer's port where nobody answers."""
    with running_cut_fleet(tmp_path) as fleet:
        cut, dead, _ = fleet.gateways
        make_unreached(fleet, cut)
        dead.process.kill()
        dead.process.wait()
        # The address accepts connections and never answers.
        host = dead.settings["ip"]
        port = dead.settings["internalPorts"][0] + 1
        with socket.create_server((host, port)) as server:
            accepted = []
            thread = threading.Thread(
                target=lambda: accepted.append(server.accept()), daemon=True
            )
            thread.start()
            answers = call_all(fleet, cut)
            assert len(served(answers)) == len(answers)
            for request_id in answers:
                assert fleet.runs(request_id) == 1


def test_bytes_that_are_no_forwarded_request_do_no_harm(tmp_path):
    """Guards against a daemon that fails for what reaches its internal port."""
    with running_cut_fleet(tmp_path, gateways=1) as fleet:
        (gateway,) = fleet.gateways
        host = gateway.settings["ip"]
        port = gateway.settings["internalPorts"][0] + 1
        request = request_bytes("GET", "/reads/1", b"", {}, "foreign")
        for data in (b"\x00\x01\x02\r\n\r\n", request, b"GET / HTTP/1.1\r\n\r\n"):
            with socket.create_connection((host, port), 5) as connection:
                connection.sendall(data)
                connection.settimeout(5)
                assert read_answer(connection).status in (0, 400)
        assert fleet.runs("foreign") == 0
        assert fleet.call(gateway, "GET", "/reads/1").status == 200


def test_a_rate_limit_holds_as_a_sum_for_forwarded_requests(tmp_path):
    """Guards against a limit that cut gateways and their peers each use in full."""
    rate, window = 2.0, 4.0
    with running_cut_fleet(tmp_path) as fleet:
        for gateway in fleet.gateways[:2]:
            make_unreached(fleet, gateway)
        for endpoint in fleet.endpoints.values():
            endpoint.rate_limit = rate
        until = time.monotonic() + 9.0
        with ThreadPoolExecutor(3) as callers:

            def call_until_the_end(gateway):
                while time.monotonic() < until:
                    fleet.call(gateway, "GET", "/reads/1")

            list(callers.map(call_until_the_end, fleet.gateways))
        for number in (1, 2, 3):
            endpoint = fleet.endpoints[f"desk-{number}"]
            binding = endpoint.limit_named_at + 3.0
            times = [at for at in endpoint.arrived_at if at >= binding]
            most = max(sum(t <= at < t + window for at in times) for t in times)
            assert most <= 1.5 * rate * window + 5
            assert len(times) >= 0.5 * rate * (fleet.loop.time() - binding)


def test_memory_that_a_peer_reserves_is_released(tmp_path):
    """Guards against memory that stays reserved at helpers of a forwarded prompt."""
    with running_cut_fleet(tmp_path) as fleet:
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        headers = {**PROMPT_HEADERS, "Cranberrywick-Token-Count": "400000,1000"}

        def reserved():
            endpoints = fleet.endpoints.values()
            return sum(fleet.on_loop(lambda e=e: e.reserved) for e in endpoints)

        answer = fleet.call(cut, "POST", "/prompts/1", b"p", headers, "long")
        assert answer.status == 200 and answer.whole
        assert any(
            "/" in head[2].get("cranberrywick-helpers", "")
            for endpoint in fleet.endpoints.values()
            for head in endpoint.heads
        )
        wait_for(lambda: reserved() == 0, "the memory to be free")
        for endpoint in fleet.endpoints.values():
            endpoint.work_seconds = 5.0
        with fleet.connect(cut) as connection:
            connection.sendall(
                request_bytes("POST", "/prompts/1", b"p", headers, fleet.new_id())
            )
            wait_for(lambda: reserved() > 0, "memory to be reserved")
        left_at = time.monotonic()
        wait_for(lambda: reserved() == 0, "the memory to be free")
        assert time.monotonic() - left_at < 1.5


@pytest.mark.parametrize("store_mode", ["silent", "busy", "reset"])
def test_the_store_is_silent_while_a_gateway_is_cut(tmp_path, store_mode):
    """Guards against forwarding that needs the store."""
    with running_cut_fleet(tmp_path) as fleet:
        cut = fleet.gateways[0]
        for name in list(fleet.store.modes_by_listener):
            fleet.store.modes_by_listener[name] = store_mode
        time.sleep(1.0)
        fleet.cut(cut, "hang")
        answers = call_all(fleet, cut)
        assert len(served(answers)) >= len(answers) - 2


def test_a_revoked_key_is_refused_on_the_way_through_a_peer(tmp_path):
    """Guards against a key that is valid at the peer after it was revoked."""
    with running_cut_fleet(tmp_path) as fleet:
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        tenants = [{"name": "kask", "apiKeys": ["another"], "priority": 1}]
        fleet.configure(configuration(7, tenants=tenants))
        wait_for(lambda: "version=7" in cut.log, "the configuration")
        assert fleet.call(cut, "GET", "/reads/1", request_id="revoked").status == 401
        headers = {"Authorization": "Token another"}
        assert fleet.call(cut, "GET", "/reads/1", b"", headers).status == 200
        assert fleet.runs("revoked") == 0


def test_a_request_goes_to_as_many_endpoints_as_its_route_allows(tmp_path):
    """Guards against attempts that are counted anew at each peer."""
    with running_cut_fleet(tmp_path, desks=4) as fleet:
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        for endpoint in fleet.endpoints.values():
            endpoint.behaviour = "failing"
        for _ in range(10):
            request_id = fleet.new_id()
            answer = fleet.call(cut, "GET", "/reads/1", request_id=request_id)
            assert answer.status == 500
            assert fleet.runs(request_id) <= 2
            request_id = fleet.new_id()
            answer = fleet.call(cut, "POST", "/books/1", request_id=request_id)
            assert answer.status == 500 and fleet.runs(request_id) == 1


def test_a_peer_uses_no_endpoint_that_the_first_daemon_excludes(tmp_path):
    """Guards against a third endpoint for a request that its route allows two."""
    with running_cut_fleet(tmp_path, gateways=1, desks=4) as fleet:
        (gateway,) = fleet.gateways
        host, port = gateway.settings["ip"], gateway.settings["internalPorts"][0] + 1
        fields = {
            "elapsed": 0.1,
            "remaining": 4.0,
            "version": 1,
            "service": "desk",
            "sent_ids": ("desk-1", "desk-2"),
            "excluded_ids": ("desk-1",),
        }
        for sent_ids, allowed_ids in (
            (("desk-1", "desk-2"), {"desk-2"}),
            (("desk-1",), {"desk-2", "desk-3", "desk-4"}),
        ):
            stated = RequestStatement("d1", **{**fields, "sent_ids": sent_ids})
            value = encode_request_statement(stated).decode()
            request_ids = [fleet.new_id() for _ in range(24)]
            for request_id in request_ids:
                headers = {"Forwarding-Statement": value}
                data = request_bytes("GET", "/reads/1", b"", headers, request_id)
                with socket.create_connection((host, port), 5) as connection:
                    connection.sendall(data)
                    assert read_answer(connection).status == 200
            used_ids = {
                endpoint.endpoint_id
                for endpoint in fleet.endpoints.values()
                for request_id in request_ids
                if endpoint.runs[request_id]
            }
            assert used_ids == allowed_ids


def test_a_peer_that_knows_an_older_configuration_refuses(tmp_path):
    """Guards against requests that go back to an older configuration at a peer."""
    with running_cut_fleet(tmp_path, gateways=1) as fleet:
        (gateway,) = fleet.gateways
        host, port = gateway.settings["ip"], gateway.settings["internalPorts"][0] + 1
        value = encode_request_statement(
            RequestStatement("d1", 0.1, 4.0, version=2, service="desk")
        )
        headers = {"Forwarding-Statement": value.decode()}
        data = request_bytes("GET", "/reads/1", b"", headers, "newer")
        with socket.create_connection((host, port), 5) as connection:
            connection.sendall(data)
            answer = read_answer(connection)
        stated = decode_answer_statement(
            answer.headers["forwarding-statement"].encode()
        )
        assert isinstance(stated.error, PlatformUnavailable)
        assert stated.error.executed is Executed.NO
        assert fleet.runs("newer") == 0
