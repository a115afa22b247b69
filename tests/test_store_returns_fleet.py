"""The store comes back from an older copy, with gateway processes.

Guards against readings that are taken for older ones because revisions went back, and
against daemons that unlearn what the copy does not hold yet.
"""

import signal
import time

import pytest
from endpoint_promises import call_all
from gateway_fleet import KEY, configuration, running_gateways, wait_for
from store_returns import (
    APPLY_SECONDS,
    EVACUATE_SECONDS,
    FORGOTTEN_SECONDS,
    MEMBERS_PREFIX,
    OTHER_KEY,
    READ_SECONDS,
    copy_without_daemons,
    go_back,
    late_at_drained,
    late_requests,
    lose_changes,
    make_changes,
    status,
    wait_registered,
    with_keys,
)


def drain(fleet):
    """Write that ``desk-1`` is draining; return the time."""
    fleet.register("desk-1", "desk", state="draining")
    return fleet.loop.time()


def remove(fleet):
    """Remove the record of ``desk-1``; return the time."""
    fleet.on_loop(fleet.store.remove, "servers/desk-1")
    return fleet.loop.time()


def test_an_endpoint_that_leaves_after_a_return_gets_no_requests(tmp_path):
    """Guards against readings that are dropped since their revision is lower."""
    with running_gateways(tmp_path, gateways=3) as fleet:
        go_back(fleet, lose_changes(fleet))
        assert late_at_drained(fleet, drain(fleet)) == 0


def test_a_removed_record_counts_once_the_store_has_been_back_for_long(tmp_path):
    """Guards against an outage that lasts longer for the daemon than for the store."""
    with running_gateways(tmp_path, gateways=3) as fleet:
        copy = lose_changes(fleet)
        go_back(fleet, copy)
        time.sleep(FORGOTTEN_SECONDS)
        removed_at = remove(fleet)
        fleet.on_loop(make_changes, fleet)
        assert late_at_drained(fleet, removed_at) == 0


def test_a_configuration_written_after_a_return_is_applied(tmp_path):
    """Guards against a revoked key that stays valid."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        go_back(fleet, lose_changes(fleet))
        fleet.configure(with_keys(2, OTHER_KEY))
        time.sleep(APPLY_SECONDS)
        for gateway in fleet.gateways:
            assert status(fleet, gateway, KEY) == 401
            assert status(fleet, gateway, OTHER_KEY) == 200


def test_a_domain_taken_out_after_a_return_gets_no_requests(tmp_path):
    """Guards against requests to a failure domain that operators took out."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        fleet.register("desk-1", "desk", zone="b")
        go_back(fleet, lose_changes(fleet))
        fleet.on_loop(fleet.store.put_json, "op/evacuate/b", {})
        out_at = fleet.loop.time()
        calls = call_all(fleet, EVACUATE_SECONDS + 1.0, callers_each=1)
        endpoint = fleet.endpoints["desk-1"]
        assert late_requests(endpoint, calls, out_at, EVACUATE_SECONDS) == 0


def test_a_daemon_cut_from_the_store_hears_of_the_return_from_others(tmp_path):
    """Guards against updates of peers that are dropped since revisions are lower."""
    with running_gateways(tmp_path, gateways=3) as fleet:
        copy = lose_changes(fleet)
        fleet.store.modes_by_listener["gateway-2"] = "silent"
        go_back(fleet, copy)
        fleet.configure(with_keys(2, OTHER_KEY))
        assert late_at_drained(fleet, drain(fleet)) == 0
        for gateway in fleet.gateways:
            assert status(fleet, gateway, KEY) == 401


def test_a_daemon_that_missed_two_returns_follows_the_last(tmp_path):
    """Guards against a daemon that was frozen and knows an epoch long gone."""
    with running_gateways(tmp_path, gateways=3) as fleet:
        copy = lose_changes(fleet)
        frozen = fleet.gateways[2]
        frozen.process.send_signal(signal.SIGSTOP)
        go_back(fleet, copy)
        time.sleep(READ_SECONDS)
        go_back(fleet, copy)
        drained_at = drain(fleet)
        time.sleep(READ_SECONDS)
        frozen.process.send_signal(signal.SIGCONT)
        time.sleep(READ_SECONDS)
        assert late_at_drained(fleet, drained_at) == 0


def test_an_endpoint_known_to_drain_stays_so_while_the_store_forgot_it(tmp_path):
    """Guards against a drain that is undone by the copy's older record."""
    with running_gateways(tmp_path, gateways=3) as fleet:
        copy = lose_changes(fleet)
        drained_at = drain(fleet)
        time.sleep(READ_SECONDS)
        go_back(fleet, copy)
        assert late_at_drained(fleet, drained_at, FORGOTTEN_SECONDS) == 0
        drain(fleet)
        assert late_at_drained(fleet, drained_at) == 0


def test_an_endpoint_known_to_be_gone_stays_so_while_the_store_forgot_it(tmp_path):
    """Guards against requests to an endpoint that only the copy still has."""
    with running_gateways(tmp_path, gateways=3) as fleet:
        copy = lose_changes(fleet)
        removed_at = remove(fleet)
        time.sleep(READ_SECONDS)
        go_back(fleet, copy)
        assert late_at_drained(fleet, removed_at, FORGOTTEN_SECONDS) == 0
        remove(fleet)
        assert late_at_drained(fleet, removed_at) == 0


def test_an_endpoint_that_is_alive_returns_although_it_was_gone(tmp_path):
    """Guards against an endpoint that stays out of use for a record that lapsed."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        copy = lose_changes(fleet)
        remove(fleet)
        time.sleep(READ_SECONDS)
        go_back(fleet, copy)
        time.sleep(2 * EVACUATE_SECONDS)
        before = len(fleet.endpoints["desk-1"].arrivals)
        call_all(fleet, seconds=0.5)
        assert len(fleet.endpoints["desk-1"].arrivals) > before


def test_a_revoked_key_stays_revoked_while_the_store_forgot_it(tmp_path):
    """Guards against a configuration that goes back with the store."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        copy = lose_changes(fleet)
        fleet.configure(with_keys(2, OTHER_KEY))
        time.sleep(APPLY_SECONDS)
        go_back(fleet, copy)
        until = time.monotonic() + FORGOTTEN_SECONDS
        while time.monotonic() < until:
            for gateway in fleet.gateways:
                assert status(fleet, gateway, KEY) == 401
                assert status(fleet, gateway, OTHER_KEY) == 200
        fleet.configure(with_keys(3, KEY))
        time.sleep(APPLY_SECONDS)
        assert {status(fleet, gateway, KEY) for gateway in fleet.gateways} == {200}


def test_a_domain_out_stays_out_while_the_store_forgot_it(tmp_path):
    """Guards against requests to a domain whose evacuation is written again soon."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        fleet.register("desk-1", "desk", zone="b")
        copy = lose_changes(fleet)
        fleet.on_loop(fleet.store.put_json, "op/evacuate/b", {})
        time.sleep(READ_SECONDS)
        go_back(fleet, copy)
        endpoint = fleet.endpoints["desk-1"]
        before = len(endpoint.arrivals)
        call_all(fleet, FORGOTTEN_SECONDS)
        assert len(endpoint.arrivals) == before
        fleet.on_loop(fleet.store.put_json, "op/evacuate/b", {})
        time.sleep(READ_SECONDS)
        fleet.on_loop(fleet.store.remove, "op/evacuate/b")
        time.sleep(READ_SECONDS)
        call_all(fleet, seconds=0.5)
        assert len(endpoint.arrivals) > before


def test_a_daemon_that_starts_after_a_return_learns_what_the_store_forgot(tmp_path):
    """Guards against a daemon that knows the copy alone."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        fleet.register("desk-2", "desk", zone="b")
        fleet.add_endpoint("desk-3", "desk")
        copy = lose_changes(fleet)
        drained_at = drain(fleet)
        fleet.on_loop(fleet.store.put_json, "op/evacuate/b", {})
        fleet.configure(with_keys(2, OTHER_KEY))
        time.sleep(APPLY_SECONDS)
        go_back(fleet, copy)
        time.sleep(READ_SECONDS)
        newcomer = fleet.start_gateway("gateway-2")
        time.sleep(READ_SECONDS)
        assert status(fleet, newcomer, KEY) == 401
        fleet.configure(with_keys(3, KEY))
        time.sleep(READ_SECONDS)
        before = len(fleet.endpoints["desk-2"].arrivals)
        assert late_at_drained(fleet, drained_at) == 0
        assert len(fleet.endpoints["desk-2"].arrivals) == before


def test_a_record_with_the_revision_of_an_older_one_is_read(tmp_path):
    """Guards against records that are kept by a revision given out twice."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        copy = fleet.on_loop(fleet.store.copy)
        fleet.register("desk-1", "desk", slots=7)
        time.sleep(READ_SECONDS)
        go_back(fleet, copy)
        assert late_at_drained(fleet, drain(fleet)) == 0


def test_daemons_register_again_at_once(tmp_path):
    """Guards against daemons that are missing from the list until the next renewal."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        wait_registered(fleet)
        go_back(fleet, copy_without_daemons(fleet))
        time.sleep(2 * READ_SECONDS)
        registered = fleet.on_loop(fleet.store.keys, MEMBERS_PREFIX)
        assert registered == [f"{MEMBERS_PREFIX}{g.name}" for g in fleet.gateways]


def test_a_stopping_daemon_ends_its_own_registration_only(tmp_path):
    """Guards against a lease whose number the store gave out again."""
    with running_gateways(tmp_path, gateways=0) as fleet:
        copy = fleet.on_loop(fleet.store.copy)
        first = fleet.start_gateway("gateway-0")
        wait_registered(fleet)
        go_back(fleet, copy)
        fleet.store.modes_by_listener["gateway-0"] = "busy"
        second = fleet.start_gateway("gateway-1")
        wait_registered_one = f"{MEMBERS_PREFIX}{second.name}"
        wait_for(lambda: wait_registered_one in fleet.store.keys(MEMBERS_PREFIX), "it")
        fleet.store.modes_by_listener["gateway-0"] = "open"
        first.process.send_signal(signal.SIGTERM)
        first.process.wait()
        registered = fleet.on_loop(fleet.store.keys, MEMBERS_PREFIX)
        assert registered == [wait_registered_one]


@pytest.mark.parametrize("epoch_text", ["", "soon"])
def test_daemons_follow_a_store_without_a_readable_epoch(tmp_path, epoch_text):
    """Guards against readings that are dropped for lack of an epoch."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        fleet.store.epoch_text = epoch_text
        time.sleep(READ_SECONDS)
        assert late_at_drained(fleet, drain(fleet)) == 0


def test_callers_notice_nothing_when_no_change_was_lost(tmp_path):
    """Guards against calls that fail only because the store's epoch rose."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        wait_registered(fleet)
        fleet.loop.call_soon_threadsafe(
            fleet.loop.call_later, 1.0, lambda: fleet.store.restore(fleet.store.copy())
        )
        calls = call_all(fleet, FORGOTTEN_SECONDS)
        assert {call.answer.status for call in calls} == {200}


def test_a_service_keeps_its_last_endpoint(tmp_path):
    """Guards against a service without endpoints while records are written again."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        remove(fleet)
        time.sleep(READ_SECONDS)
        fleet.on_loop(fleet.store.remove, "servers/desk-2")
        copy = fleet.on_loop(fleet.store.copy)
        fleet.register("desk-2", "desk")
        fleet.configure(configuration(2))
        time.sleep(READ_SECONDS)
        go_back(fleet, copy)
        calls = call_all(fleet, READ_SECONDS)
        fleet.register("desk-2", "desk")
        calls += call_all(fleet, FORGOTTEN_SECONDS)
        assert {call.answer.status for call in calls} == {200}
