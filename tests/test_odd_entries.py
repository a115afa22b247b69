"""Odd entries among those of endpoints, daemons, peers and the configuration.

Guards against one entry of another writer that ends a daemon, keeps it from following
the store, or fails requests that have nothing to do with it.
"""

import asyncio
import json
import re
import socket
import time

import pytest
from gateway_fleet import KEY, configuration, route, running_gateways, wait_for
from hypothesis import given, settings
from hypothesis import strategies as st
from odd_entries import ADDRESSES, DEEP, HUGE, IDS, LONG, VALUES

from cranberrywick.addresses import parse_address
from cranberrywick.errors import EndpointRefused, InvalidConfiguration
from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.endpoint_tracker import EndpointTracker, PeerSnapshotOutcome
from cranberrywick.gateway.log_output import BoundedOutput
from cranberrywick.gateway.messages import Scope, encode_message
from cranberrywick.gateway.upstream import EndpointConnection
from cranberrywick.logs import EventLog, make_handler
from cranberrywick.platform.configuration import decode_configuration
from cranberrywick.platform.documents import decode_endpoint, decode_member
from cranberrywick.platform.headers import decode_response
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.model import EndpointRecord, EndpointView

# How often a gateway is called while an odd entry is there.
CALLS = 12
FAILURES = ("request_crashed", "callback_failed", "store_lost", "stop_step_failed")


def call_all(fleet, gateway, number=CALLS):
    """Return the statuses of calls of each kind."""
    return {
        fleet.call(gateway, method, f"/{prefix}/1").status
        for _ in range(number // 2)
        for method, prefix in (("GET", "reads"), ("POST", "books"))
    }


def failures(gateway):
    """Return the lines of a gateway's log that no entry may lead to."""
    return [
        line
        for line in gateway.log.splitlines()
        if any(f"event={each}" in line for each in FAILURES)
    ]


def check_follows(fleet, gateway):
    """Check that a gateway follows the lists of endpoints and of routes."""
    assert gateway.process.poll() is None
    fleet.add_endpoint("desk-new", "desk")
    fields = configuration(2)
    fields["routes"].append(route("new", "safe", "desk"))
    fleet.configure(fields)
    wait_for(lambda: "endpoint=desk-new" in gateway.log, "the new endpoint")
    wait_for(
        lambda: fleet.call(gateway, "GET", "/new/1").status == 200, "the new route"
    )
    newcomer = fleet.start_gateway("newcomer")
    assert call_all(fleet, newcomer) == {200}
    assert [*failures(gateway), *failures(newcomer)] == []


def unusable_lines(gateway, kind):
    """Return the log's lines about unusable records of a kind."""
    lines = gateway.log.splitlines()
    return [each for each in lines if f"event={kind}_record_unusable" in each]


def test_odd_entries_of_endpoints_leave_the_sound_ones_usable(tmp_path):
    """Guards against requests that fail since an entry names no endpoint.

    The entries come one after the other; the last ones stay, also for a gateway that
    starts then.
    """
    with running_gateways(tmp_path, 2) as fleet:
        gateway, peer = fleet.gateways
        for number, (what, value) in enumerate(VALUES.items()):
            fleet.on_loop(fleet.store.put, f"servers/odd-{number}", value)
            wait_for(
                lambda odd=number: f"endpoint=odd-{odd} reason=" in gateway.log,
                f"the line about the entry: {what}",
            )
            assert call_all(fleet, gateway, 4) == {200}, what
            if number < len(VALUES) - 10:
                fleet.on_loop(fleet.store.remove, f"servers/odd-{number}")
        assert call_all(fleet, peer) == {200}
        check_follows(fleet, gateway)
        assert len(unusable_lines(gateway, "endpoint")) <= len(VALUES)
        assert max(len(line) for line in gateway.log.splitlines()) < 2000
        assert failures(peer) == []


def test_odd_ids_of_endpoints_leave_the_sound_ones_usable(tmp_path):
    """Guards against an id that neither a header nor a peer's message can have."""
    with running_gateways(tmp_path, 2) as fleet:
        gateway, peer = fleet.gateways
        sound = next(iter(fleet.endpoints.values()))
        record = json.loads(VALUES["slots 0"]) | {"slots": 8, "address": sound.address}
        for end in IDS.values():
            fleet.on_loop(fleet.store.put_json, f"servers/{end}", record)
        wait_for(
            lambda: len(unusable_lines(gateway, "endpoint")) == len(IDS),
            "the lines about the entries",
        )
        assert call_all(fleet, gateway) == call_all(fleet, peer) == {200}
        check_follows(fleet, gateway)
        assert failures(peer) == []


def test_many_odd_entries_are_logged_within_bounds(tmp_path):
    """Guards against a log, and a daemon, that odd entries fill."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        for number in range(600):
            fleet.on_loop(fleet.store.put, f"servers/odd-{number}", b"[" * 1000)
        wait_for(lambda: "event=endpoint_records_unusable" in gateway.log, "the count")
        assert call_all(fleet, gateway) == {200}
        check_follows(fleet, gateway)
        assert len(unusable_lines(gateway, "endpoint")) < 600


def test_odd_entries_of_daemons_leave_the_others_known(tmp_path):
    """Guards against heartbeats that nobody gets, since a record names no daemon."""
    members = "cranberrywick/members/"
    with running_gateways(tmp_path, 2) as fleet:
        gateway, peer = fleet.gateways
        records = [{"peerAddress": text} for text in ADDRESSES.values()]
        records += [{"peerAddress": odd} for odd in (HUGE, None, [], {})]
        for number, record in enumerate(records):
            fleet.on_loop(fleet.store.put_json, f"{members}odd-{number}", record)
        for end in IDS.values():
            record = {"peerAddress": "127.0.0.1:9"}
            fleet.on_loop(fleet.store.put_json, f"{members}{end}", record)
        fleet.on_loop(fleet.store.put, f"{members}deep", b"[" * DEEP)
        newcomer = fleet.start_gateway("gateway-late")
        wait_for(
            lambda: "event=daemon_record_unusable" in newcomer.log, "the lines about it"
        )
        wait_for(lambda: len(fleet.addresses(gateway)) == 3, "the daemons to be known")
        for each in (gateway, peer, newcomer):
            assert call_all(fleet, each) == {200}
            assert failures(each) == []
        check_follows(fleet, gateway)


def test_odd_addresses_of_peers_are_not_used(tmp_path):
    """Guards against a peer's address that callers are told, or that ends updates."""
    with running_gateways(tmp_path, 2) as fleet:
        gateway, _ = fleet.gateways
        for number, text in enumerate(ADDRESSES.values()):
            if len(text) > 10_000 or "\ud800" in text:
                continue  # No datagram can have it.
            for peer_address, entry_address in (
                (text, "127.0.0.1:9"),
                ("127.0.0.1:9", text),
            ):
                send_heartbeat(gateway, f"odd-{number}", peer_address, entry_address)
        wait_for(lambda: "event=peer_row_invalid" in gateway.log, "the odd heartbeats")
        time.sleep(0.5)
        assert len(fleet.addresses(gateway)) == 2
        assert call_all(fleet, gateway) == {200}
        check_follows(fleet, gateway)


def send_heartbeat(gateway, daemon_id, peer_address, entry_address):
    """Send a gateway the heartbeat of a daemon with these addresses."""
    heartbeat = Heartbeat(
        daemon_id, 1, 1, peer_address, entry_address, "a", False, 0, 0, 0.0, ()
    )
    ip, port = gateway.settings["ip"], gateway.settings["internalPorts"][0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        data = encode_message(heartbeat, 0.0, Scope.FLEET)
        sender.sendto(data, (ip, port))


def odd_configuration(version):
    """Return a configuration with odd entries before and behind the sound ones."""
    fields = configuration(version)
    sound = route("sound", "safe", "desk")
    fields["routes"] = [
        route("odd-1", "safe", "desk", timeoutMs=HUGE),
        7,
        *fields["routes"],
        route("odd-2", "safe", "desk", priority=-1),
        {**sound, "prefix": 5},
        route("odd-3", "safe", "desk\ud800"),
        route("odd-4", "safe", "odd-service"),
        route("reads/odd-5", "safe", "desk", maxAttempts="many"),
        {**sound, "name": "n" * 300},
    ]
    engine = {**fields["services"][1]["engine"], "read_per_s": 0}
    fields["services"] += [
        {"name": "odd-service", "engine": engine},
        {"name": "\ud800"},
        None,
    ]
    fields["tenants"] += [
        {"name": "bad\r\nX: y", "apiKeys": ["bad-key"]},
        {"name": "open", "apiKeys": "xyz"},
        {"name": "kask", "apiKeys": [KEY, 7, None]},
        [],
    ]
    fields["limits"]["idleTimeoutMs"] = "long"
    return fields


def test_odd_entries_of_the_configuration_leave_the_others_in_force(tmp_path):
    """Guards against a configuration that nobody follows since one entry is odd."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        fleet.configure(odd_configuration(2))
        wait_for(lambda: "event=configuration_entries_unusable" in gateway.log, "it")
        newcomer = fleet.start_gateway("gateway-late")
        for each in (gateway, newcomer):
            assert call_all(fleet, each) == {200}
            assert fleet.call(each, "GET", "/sound/1").status == 200
            for path in ("odd-1", "odd-2", "odd-3", "odd-4", "reads/odd-5"):
                answer = fleet.call(each, "GET", f"/{path}/1")
                assert answer.status == 503, path
                assert float(answer.headers["retry-after"]) > 0
            key = {"Authorization": "Token bad-key"}
            assert fleet.call(each, "GET", "/reads/1", headers=key).status == 503
            key = {"Authorization": "Token x"}
            assert fleet.call(each, "GET", "/reads/1", headers=key).status == 401
            assert failures(each) == []
        fleet.configure(configuration(3))
        applied = re.compile("event=configuration_applied .*version=3 ")
        wait_for(lambda: applied.search(gateway.log), "the next version")
        lines = re.findall("event=configuration_entries_unusable .*", gateway.log)
        assert len(lines) == 1 and "count=14" in lines[0]


def test_odd_operator_keys_leave_the_configuration_followed(tmp_path):
    """Guards against an evacuation of no domain that ends the reading of all."""
    with running_gateways(tmp_path, 2) as fleet:
        gateway, peer = fleet.gateways
        for end in IDS.values():
            fleet.on_loop(fleet.store.put_json, f"op/evacuate/{end}", {})
            fleet.on_loop(fleet.store.put_json, f"cranberrywick/quarantines/{end}", {})
        fleet.on_loop(fleet.store.put, "op/other", b"[" * DEEP)
        check_follows(fleet, gateway)
        assert call_all(fleet, peer) == {200}
        assert failures(peer) == []


@pytest.mark.parametrize(
    "load", [b"\xb2,0,8", LONG.encode() + b",1,8", b"1", b",,", b""]
)
def test_an_odd_load_in_an_answer_is_not_read(load):
    """Guards against a whole answer that is dropped for a header of it."""
    meta = decode_response(200, {b"cranberrywick-server-load": load})
    assert (meta.running, meta.waiting) == (-1, -1)


def _json():
    leaves = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
    return st.recursive(
        leaves | st.sampled_from([HUGE, -HUGE, "\ud800", "1:2"]),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=8,
    )


@settings(max_examples=300, deadline=None)
@given(
    part=st.sampled_from(["routes", "services", "tenants", "limits"]),
    key=st.sampled_from(
        [
            *("name", "host", "prefix", "kind", "service", "trafficSplit", "priority"),
            *("timeoutMs", "maxAttempts", "engine", "coldPerS", "apiKeys", "public"),
            *("maxHeaderBytes", "idleTimeoutMs"),
        ]
    ),
    value=_json(),
)
def test_any_value_of_a_field_leaves_a_configuration(part, key, value):
    """Guards against values of configurations that nothing expects."""
    fields = configuration()
    row = fields[part] if part == "limits" else fields[part][0]
    row[key] = value
    decoded = decode_configuration(json.dumps(fields).encode())
    assert len(decoded.routes) >= len(fields["routes"]) - 1
    assert len(decoded.services_by_name) >= len(fields["services"]) - 1


@settings(max_examples=300, deadline=None)
@given(
    key=st.sampled_from(["service", "address", "zone", "slots", "state", "born"]),
    value=_json(),
)
def test_any_value_of_a_field_is_a_record_or_a_reason(key, value):
    """Guards against values of records that nothing expects."""
    record = json.loads(VALUES["slots 0"]) | {"slots": 8, key: value}
    try:
        decoded = decode_endpoint("e1", json.dumps(record).encode())
    except InvalidConfiguration:
        return
    parse_address(decoded.address)
    assert 0 < decoded.slots < 2**16
    f"{decoded.service}{decoded.failure_domain}".encode()


@pytest.mark.parametrize("text", ADDRESSES.values(), ids=ADDRESSES.keys())
def test_an_odd_address_names_no_daemon(text):
    """Guards against addresses that can't be sent to."""
    with pytest.raises(InvalidConfiguration):
        decode_member("d1", json.dumps({"peerAddress": text}).encode())


@pytest.mark.parametrize("text", ADDRESSES.values(), ids=ADDRESSES.keys())
def test_an_address_that_cannot_be_connected_to_refuses(text):
    """Guards against a request that isn't tried elsewhere though nothing was sent."""

    async def connect():
        async with EndpointConnection(text) as connection:
            await connection.open(0.1)

    with pytest.raises(EndpointRefused) as caught:
        asyncio.run(connect())
    assert caught.value.is_unreachable


@pytest.mark.parametrize("value", [b"i-1\r\nX: y", b"i-\0", b" i-1"])
def test_a_request_that_cannot_be_written_refuses(value):
    """Guards against a request that counts as sent though no byte of it was."""
    connection = EndpointConnection("127.0.0.1:9")
    headers = [(b"Host", b"h"), (b"Cranberrywick-Expect-Instance", value)]
    with pytest.raises(EndpointRefused):
        connection.encode_request(b"GET", b"/", headers, b"")
    assert not connection.sent


def test_odd_records_of_a_peer_are_not_tracked():
    """Guards against endpoints without an address, as earlier versions send them."""
    sound = EndpointRecord("e1", "desk", "127.0.0.1:9", "a", 8, False, 0.0, 1)
    odd = sound._replace(endpoint_id="e2", address="127.0.0.1:65536")
    tracker = EndpointTracker(EventLog())

    def receive(revision, *records):
        view = EndpointView(revision, {each.endpoint_id: each for each in records})
        snapshot = EndpointSnapshot.whole(view, view.digest, 0.0)
        return tracker.apply_peer_snapshot(snapshot, float(revision))

    assert receive(1, sound, odd) is PeerSnapshotOutcome.CHANGED
    assert tracker.registry.tracked_by_id.keys() == {"e1"}
    assert receive(2, sound, odd) is PeerSnapshotOutcome.SAME
    well = odd._replace(address="127.0.0.1:10")
    assert receive(3, sound, well) is PeerSnapshotOutcome.CHANGED
    assert tracker.registry.tracked_by_id.keys() == {"e1", "e2"}
    assert receive(4, sound, odd) is PeerSnapshotOutcome.CHANGED
    assert tracker.registry.tracked_by_id.keys() == {"e1"}


@pytest.mark.parametrize("encoding", ["utf-8", "ascii"])
def test_text_without_an_encoding_is_logged(tmp_path, encoding):
    """Guards against a log that ends with a character that no encoding has."""
    stream = (tmp_path / "log").open("w", encoding=encoding)
    output = BoundedOutput(stream)
    with make_handler("info", output).applicationbound():
        EventLog().info("odd", name="i-\ud800")
        EventLog().info("next")
    output.write("\ud801 and plain\n")
    output.write("last\n")
    assert output.wait_written(5.0)
    written = (tmp_path / "log").read_text(encoding)
    assert "i-\\ud800" in written.replace("\\\\", "\\") and "event=next" in written
    assert written.endswith("\\ud801 and plain\nlast\n")
