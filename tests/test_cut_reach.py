"""What gateways conclude from lost links, and when they use endpoints again."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from cut_fleet import MODES, running_cut_fleet
from cut_scenes import (
    call_all,
    make_unreached,
    served,
)
from gateway_fleet import (
    PROMPT_HEADERS,
    wait_for,
)


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
