"""Entries that are unusual, and can be used.

Guards against entries of which requests were served that are refused as odd ones.
"""

import json

import pytest
from gateway_fleet import (
    PROMPT_HEADERS,
    configuration,
    route,
    running_gateways,
    wait_for,
)
from test_odd_entries import call_all, failures

from cranberrywick.addresses import parse_address
from cranberrywick.errors import InvalidConfiguration
from cranberrywick.fields import check_name
from cranberrywick.platform.configuration import decode_configuration

# Letters that are joined or kept apart by characters without a width, and blanks at
# which no line ends.
NAMES = (
    "Zone Ä 1",
    "می\u200cخواهم",
    "zone\u00a01",
    "क्\u200dष",
    "東\u3000京",
    "a\u00adb",
)


@pytest.mark.parametrize(
    "text", ["[::1]:80", "[::ffff:10.0.0.1]:80", "[64:ff9b::a00:1]:80", "[fd00::1]:80"]
)
def test_ipv6_addresses_of_vms_are_read(text):
    """Guards against VMs that leave the list of `serve` by their kind of address."""
    assert parse_address(text, allows_ipv6=True).port == 80


@pytest.mark.parametrize("text", ["[::]:80", "[ff02::1]:80", "[::ffff:0.0.0.0]:80"])
def test_ipv6_addresses_of_no_vm_are_not_read(text):
    """Guards against addresses at which the own VM answers, or several do."""
    with pytest.raises(ValueError):
        parse_address(text, allows_ipv6=True)


@pytest.mark.parametrize("text", NAMES)
def test_names_of_any_script_are_read(text):
    """Guards against a domain whose endpoints get nothing for a letter of its name."""
    assert check_name(text, "zone") == text


@pytest.mark.parametrize("text", ["a\0", "a\x85b", "a\u2028b", "a\x7f", "\ud800", " a"])
def test_names_that_cannot_be_passed_on_are_not_read(text):
    """Guards against names that end a header, a message or a log line."""
    with pytest.raises(InvalidConfiguration):
        check_name(text, "zone")


@pytest.mark.parametrize("priority", [1.5, -1, "high", [], 2**31])
def test_a_priority_that_is_none_leaves_an_organisation_its_keys(priority):
    """Guards against 503 to a whole organisation since its priority is odd."""
    fields = configuration()
    fields["tenants"][0]["priority"] = priority
    decoded = decode_configuration(json.dumps(fields).encode())
    (organisation,) = decoded.organisations_by_key.values()
    assert organisation == ("kask", None)
    assert "priority" in decoded.unusable.reasons[0]
    assert not decoded.unusable.keys


def test_a_key_that_is_a_number_is_its_digits():
    """Guards against 401 to callers with a key that the configuration has."""
    fields = configuration()
    fields["tenants"][0]["apiKeys"] = [1234, True, "k"]
    decoded = decode_configuration(json.dumps(fields).encode())
    assert decoded.organisations_by_key.keys() == {"1234", "k"}


def test_unusual_entries_are_served(tmp_path):
    """Guards against requests that crash by a target of nothing, or by no tokens."""
    with running_gateways(tmp_path, 2) as fleet:
        gateway, peer = fleet.gateways
        fields = configuration(2)
        stream = {"streamResume": True, "stickySessions": True, "gapAimMs": 0}
        for number, target in enumerate((0, 5e-324)):
            odd = {"targetLatencyMs": target}
            fields["routes"] += [
                route(f"call-{number}", "safe", "desk", **odd),
                route(f"stream-{number}", "streaming", "pool", **stream, **odd),
            ]
        for number, name in enumerate(NAMES):
            fields["routes"].append(route(f"name-{number}", "safe", name))
            fields["services"].append({"name": name})
            fleet.add_endpoint(f"named-{number}", name, name)
        fleet.configure(fields)
        last = f"/name-{len(NAMES) - 1}/1"
        for each in (gateway, peer):
            wait_for(
                lambda each=each: fleet.call(each, "GET", last).status == 200, "them"
            )
            for number in range(2):
                answer = fleet.call(each, "GET", f"/call-{number}/1")
                assert answer.status == 200
                target = f"/stream-{number}/1"
                answer = fleet.call(each, "POST", target, headers=PROMPT_HEADERS)
                assert answer.status == 200
            for number in range(len(NAMES)):
                assert fleet.call(each, "GET", f"/name-{number}/1").status == 200
            for count in ("0,0", "0,5", "1,0"):
                headers = {**PROMPT_HEADERS, "Cranberrywick-Token-Count": count}
                answer = fleet.call(each, "POST", "/prompts/1", headers=headers)
                assert answer.status == 200, count
            assert call_all(fleet, each) == {200}
        assert [*failures(gateway), *failures(peer)] == []
