"""Gateways that lost their links to endpoints, while peers still reach these."""

import pytest
from cut_fleet import MODES, running_cut_fleet
from cut_scenes import CALLS, call_all, served
from gateway_fleet import wait_for

# Share of the first tries that a cut gateway has to serve.
SERVED_SHARE = 2 / 3


def assert_served(fleet, gateway):
    """Check that a gateway serves its callers, and runs no request twice."""
    answers = call_all(fleet, gateway)
    assert len(served(answers)) >= SERVED_SHARE * len(answers), {
        a.status for a in answers.values()
    }
    for request_id, answer in answers.items():
        runs = fleet.runs(request_id)
        assert runs <= 1, (request_id, runs)
        if answer.status in (429, 503):
            assert not runs, request_id


@pytest.mark.parametrize("mode", MODES)
def test_a_gateway_without_endpoints_serves_through_its_peers(tmp_path, mode):
    """Guards against callers refused by a VM whose peers reach the endpoints."""
    with running_cut_fleet(tmp_path) as fleet:
        cut, *others = fleet.gateways
        fleet.cut(cut, mode)
        assert_served(fleet, cut)
        for gateway in others:
            assert len(served(call_all(fleet, gateway))) == CALLS


@pytest.mark.parametrize("mode", MODES)
def test_all_gateways_but_one_are_cut(tmp_path, mode):
    """Guards against callers refused though one VM is left that reaches endpoints."""
    with running_cut_fleet(tmp_path, gateways=4) as fleet:
        *cut, _ = fleet.gateways
        for gateway in cut:
            fleet.cut(gateway, mode)
        for gateway in cut:
            assert_served(fleet, gateway)


def test_a_gateway_that_reaches_one_service_only(tmp_path):
    """Guards against refusals for a service while another one is reached directly."""
    with running_cut_fleet(tmp_path) as fleet:
        cut = fleet.gateways[0]
        fleet.cut(cut, "refuse", ["desk-1", "desk-2", "desk-3"])
        assert_served(fleet, cut)


def test_a_gateway_that_starts_while_it_is_cut(tmp_path):
    """Guards against a VM that serves nobody since it has never reached an endpoint."""
    with running_cut_fleet(tmp_path, gateways=2) as fleet:
        fleet.cut(fleet.gateways[0]._replace(name="gateway-3"), "hang")
        assert_served(fleet, fleet.start_gateway("gateway-3"))


def test_several_cuts_in_a_row(tmp_path):
    """Guards against a VM that recognises only its first cut."""
    with running_cut_fleet(tmp_path) as fleet:
        cut = fleet.gateways[0]
        for mode in MODES:
            fleet.cut(cut, mode)
            assert_served(fleet, cut)
            fleet.restore(cut)
            wait_for(
                lambda: len(served(call_all(fleet, cut, 8))) == 8, "direct answers"
            )
