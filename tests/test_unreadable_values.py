"""Values of the operators' configuration that the JSON library can't read."""

import json

import pytest
from gateway_fleet import (
    KEY,
    PROMPT_HEADERS,
    configuration,
    route,
    running_gateways,
    wait_for,
)
from odd_entries import DEEP, LONG
from test_odd_entries import call_all, failures

from cranberrywick.errors import InvalidConfiguration
from cranberrywick.platform.configuration import decode_configuration
from cranberrywick.routing.table import RouteTable

UNREADABLE = {"deep": "[" * DEEP + "]" * DEEP, "digits": LONG}


def odd_document(version, text):
    """Return a configuration in which a text stands for values of all parts of it."""
    fields = configuration(version)
    services, limits = fields["services"], fields["limits"]
    parts = (fields, *fields["routes"], *services, services[1]["engine"], limits)
    for part in (*parts, *fields["tenants"]):
        part["extra"] = "odd"
    fields["routes"] += [
        route("odd-1", "safe", "desk", timeoutMs="odd"),
        route("odd-2", "safe", "odd-service"),
    ]
    engine = {**services[1]["engine"], "chunk": "odd"}
    services.append({"name": "odd-service", "engine": engine})
    fields["tenants"].append({"name": "more", "apiKeys": ["odd", "its-key"]})
    limits["idleTimeoutMs"] = "odd"
    return json.dumps(fields).replace('"odd"', text).encode()


@pytest.mark.parametrize("text", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_unreadable_values_leave_the_others_of_their_entries(text):
    """Guards against a version that doesn't apply since one value can't be read."""
    decoded = decode_configuration(odd_document(2, text))
    usable = {route.name for route in decoded.routes if route.is_usable}
    assert usable == {"reads", "books", "prompts", "odd-2"}
    assert decoded.services_by_name.keys() == {"desk", "pool"}
    assert decoded.unusable.services == {"odd-service"}
    assert decoded.organisations_by_key.keys() == {KEY, "its-key"}
    assert decoded.limits.header_bytes == 4096 and decoded.limits.idle_seconds == 15


@pytest.mark.parametrize("text", ["[[", "{]", "tru", '"'])
def test_what_is_no_json_is_no_configuration(text):
    """Guards against a cut document that counts as one with unreadable values."""
    with pytest.raises(InvalidConfiguration):
        decode_configuration(odd_document(2, "[" * DEEP + text))


@pytest.mark.parametrize("text", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_unreadable_values_leave_a_configuration_in_force(tmp_path, text):
    """Guards against daemons that follow no configuration, or never get ready."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        fleet.on_loop(fleet.store.put, "op/config", odd_document(2, text))
        wait_for(lambda: "event=configuration_entries_unusable" in gateway.log, "it")
        newcomer = fleet.start_gateway("gateway-late")
        for each in (gateway, newcomer):
            assert call_all(fleet, each) == {200}
            answer = fleet.call(each, "POST", "/prompts/1", headers=PROMPT_HEADERS)
            assert answer.status == 200
            for path in ("odd-1", "odd-2"):
                assert fleet.call(each, "GET", f"/{path}/1").status == 503
            assert failures(each) == []


@pytest.mark.parametrize("position", [0, 3])
def test_an_odd_entry_beside_the_route_itself_leaves_the_route(position):
    """Guards against 503 to a route since another entry for its prefix is odd."""
    fields = configuration()
    fields["routes"].insert(position, route("reads", "safe", "desk", timeoutMs="odd"))
    table = RouteTable(decode_configuration(json.dumps(fields).encode()))
    assert table.match(fields["routes"][1]["host"], "/reads/1").is_usable
