"""Odd entries in the list of VMs, and odd reports of endpoints, for ``serve``.

Guards against one entry that ends a daemon, keeps it from following the list, or fails
requests that have nothing to do with it.
"""

import json
import time
from pathlib import Path

import pytest
import urllib3
from fleet import list_vm, running_fleet, wait_for
from odd_entries import ADDRESSES, DEEP, HUGE, LONG
from test_cut_heads import CutService, send_to_serve

from cranberrywick.endpoints.load import fetch_load
from cranberrywick.errors import AnswerLost
from cranberrywick.external.readable_json import load_readable
from cranberrywick.external.vms import VmList

CALLS = 40
SOUND = {
    "id": "sound",
    "role": "endpoint",
    "kind": "slots",
    "address": "127.0.0.1:9",
    "failure_domain": "a",
    "region": "r",
    "state": "live",
}
# IPv6 addresses name VMs here.
ODD_ADDRESSES = {name: text for name, text in ADDRESSES.items() if name != "IPv6"}
ODD_FIELDS = [
    *({"address": text} for text in ODD_ADDRESSES.values()),
    *({"peer_address": text} for text in ADDRESSES.values()),
    *({"address": odd} for odd in (HUGE, None, [], {})),
    *({"role": odd} for odd in ("dancer", [], None, 1)),
    *({"state": odd} for odd in ("dancing", {}, HUGE)),
    *({"kind": odd} for odd in ("slots\0", "\ud800", 7, "k" * 100_000)),
    *({"failure_domain": odd} for odd in ("\ud800", "a\r\nb", HUGE, None)),
    *({"region": odd} for odd in ("\ud800", [], "r" * 100_000)),
    *({"id": odd} for odd in ("\ud800", "", 7, None, "a\nb")),
]
NESTED = "[" * DEEP + "]" * DEEP
RAW_ROWS = {
    "deep": NESTED,
    "deep field": json.dumps({**SOUND, "extra": "D"}).replace(
        '"D"', "[" * DEEP + "]" * DEEP
    ),
    "5,000 digits": json.dumps({**SOUND, "extra": "N"}).replace('"N"', LONG),
    "number": "7",
    "null": "null",
    "brackets in a text": '"]}[{\\"]"',
    "NaN": "NaN",
}


@pytest.fixture
def service():
    service = CutService()
    yield service
    service.stop()


def answer_with(service, text):
    """Let a service answer each request with a JSON text."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n"
    service.answer = (head + text).encode()


def read_list(service, *rows):
    """Return the list of VMs that consists of a sound one and other rows, as JSON."""
    body = (
        f'{{"vms": [{", ".join((*rows, json.dumps(SOUND)))}], "revision": 3}}'.encode()
    )
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    service.answer = head.encode() + body
    return VmList(f"http://{service.address}").read()


@pytest.mark.parametrize("row", RAW_ROWS.values(), ids=RAW_ROWS.keys())
def test_a_row_that_cannot_be_read_leaves_the_list(service, row):
    """Guards against a list that nobody follows since one value of it is odd."""
    listing = read_list(service, row, row)
    assert listing.revision == 3
    assert listing.vms_by_id.keys() == {"sound"}
    assert listing.unusable_reasons_by_id.keys() == {"number 0", "number 1"}


def test_each_odd_field_makes_its_vm_unusable(service):
    """Guards against VMs that can't be sent to, or named to peers."""
    for number, fields in enumerate(ODD_FIELDS):
        row = json.dumps({**SOUND, "id": f"odd-{number}", **fields})
        listing = read_list(service, row)
        assert listing.vms_by_id.keys() == {"sound"}, fields
        assert len(listing.unusable_reasons_by_id) == 1, fields


@pytest.mark.parametrize(
    "text",
    [b"", b"[", b'{"vms": [', b'{"a": ' + b"[" * DEEP, b"[" * DEEP, b'{"a": tru}'],
)
def test_a_text_that_is_no_json_is_not_read(text):
    """Guards against a cut list that counts as one with unreadable entries."""
    with pytest.raises(ValueError):
        load_readable(text)


@pytest.mark.parametrize(
    "fields",
    [
        *(
            {name: HUGE}
            for name in ("incarnation", "running", "waiting", "age_seconds")
        ),
        *({name: -1} for name in ("incarnation", "running", "cache_tokens_used")),
        *({"models": odd} for odd in (["\ud800"], 7, [[]], ["m\0"])),
        {"phase": []},
        {"age_seconds": float("nan")},
        {"running": float("inf")},
    ],
)
def test_an_odd_report_of_an_endpoint_is_none(service, fields):
    """Guards against a report whose numbers no message to peers has."""
    report = {"incarnation": 1, "phase": "warm", **fields}
    answer_with(service, json.dumps(report))

    class Endpoint:
        endpoint_id, address = "e1", service.address

    with pytest.raises(AnswerLost):
        fetch_load(Endpoint, time.monotonic)


def test_odd_vms_leave_a_daemon_of_serve_to_the_others(tmp_path):
    """Guards against daemons that end, or fail sound requests, by an odd entry."""
    with running_fleet(tmp_path, daemons=2) as fleet:
        for number, fields in enumerate(ODD_FIELDS):
            if "id" in fields or len(str(fields)) > 50_000:
                continue  # The stand-in has no such entries.
            kind = ("slots", "drafting", "entry")[number % 3]
            role = "entry" if kind == "entry" else "endpoint"
            known = {"kind": kind, "address": "127.0.0.1:9", **fields}
            put_vm(
                fleet.vm_list, {**SOUND, "role": role, "id": f"odd-{number}", **known}
            )
        for daemon in fleet.daemons:
            log = Path(tmp_path / f"{daemon.name}.log")
            wait_for(lambda log=log: "vm_records_unusable" in log.read_text(), "lines")
        statuses = {
            send_to_serve(daemon, number, f"{daemon.name}-{number}").status
            for daemon in fleet.daemons
            for number in range(CALLS)
        }
        assert statuses == {200}
        check_followed(fleet)
        for daemon in fleet.daemons:
            text = (tmp_path / f"{daemon.name}.log").read_text()
            assert "Traceback" not in text and "level=error" not in text


def put_vm(vm_list, vm):
    """Add a VM whose fields may have any values."""
    url = f"http://{vm_list.address}/v1/vms/{vm['id']}"
    urllib3.request("PUT", url, body=json.dumps(vm).encode(), retries=False)


def check_followed(fleet):
    """Check that daemons follow the list: they serve, and don't, as it says."""
    vm = f"http://{fleet.vm_list.address}/v1/vms/service-0"
    fields = {"kind": "slots", "address": fleet.services[0].address}
    for is_listed in (False, True):
        if is_listed:
            list_vm(fleet.vm_list, "service-0", "endpoint", 2, fields)
        else:
            urllib3.request("DELETE", vm, retries=False)
        for daemon in fleet.daemons:
            wait_for(
                lambda daemon=daemon, listed=is_listed: (call(daemon) == 200) is listed,
                f"the service to be listed: {is_listed}",
            )


_numbers = iter(range(10**6))


def call(daemon):
    """Make a call of the plain service; return its status."""
    number = 2 * next(_numbers) + 1
    return send_to_serve(daemon, number, f"follow-{number}").status


def test_counts_with_a_fraction_of_nothing_are_read(service):
    """Guards against an engine without a report since its counts are written 3.0."""
    counts = {"running": 3.0, "waiting": 1.0, "cache_tokens_used": 2e6}
    answer_with(service, json.dumps({"incarnation": 1, "phase": "warm", **counts}))

    class Endpoint:
        endpoint_id, address = "e1", service.address

    load = fetch_load(Endpoint, time.monotonic)
    assert (load.running, load.waiting, load.cache_tokens_used) == (3, 1, 2_000_000)
