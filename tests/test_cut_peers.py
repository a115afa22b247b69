"""Peers that are disturbed while they have a request of another gateway."""

import signal
import socket
import threading
import time

from cut_fleet import running_cut_fleet
from cut_scenes import (
    call_all,
    make_unreached,
    serve_while,
    served,
)
from gateway_fleet import (
    PROMPT_HEADERS,
    read_answer,
    request_bytes,
)

from cranberrywick.errors import PlatformUnavailable
from cranberrywick.gateway.forwarded_statements import (
    RequestStatement,
    decode_answer_statement,
    encode_request_statement,
)
from cranberrywick.model import Executed


def test_a_peer_is_killed_while_it_serves_a_call(tmp_path):
    """Guards against a call that runs twice, or a refusal of one that has run."""
    with running_cut_fleet(tmp_path, gateways=4) as fleet:
        cut = fleet.gateways[0]
        make_unreached(fleet, cut)
        for endpoint in fleet.endpoints.values():
            endpoint.work_seconds = 1.5
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
