"""Log lines and metrics about what endpoints state in their answers."""

import re

import urllib3
from crashing_fleet import has_shared_segment
from gateway_fleet import (
    KEY,
    PROMPT_HEADERS,
    configuration,
    route,
    running_gateways,
    wait_for,
)


def test_logs_and_metrics_show_which_answers_stated_what(tmp_path):
    """On-call engineers see which daemon received which statement, and when."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        first, second = fleet.endpoints["desk-1"], fleet.endpoints["desk-2"]
        first.retry_afters, second.retry_afters = ["0.1"], ["0.1"]
        first.extra_headers = second.extra_headers = [("Server-Mood", "low")]
        fleet.call(gateway, "GET", "/reads/1", request_id="refused")
        first.draining = second.draining = True
        wait_for(
            lambda: fleet.call(gateway, "GET", "/reads/1").status == 200, "an answer"
        )
        wait_for(lambda: "draining_announced" in gateway.log, "the line of draining")
        lines = gateway.log.splitlines()
        (header,) = [line for line in lines if "answer_header_unread" in line]
        assert " header=server-mood " in header
        backoff = next(line for line in lines if "backoff_requested" in line)
        assert " born=1 seconds=0.1 ends_after=0.1 request_id=refused" in backoff
        host, port = gateway.settings["ip"], gateway.settings["internalPorts"][1]
        metrics = urllib3.request("GET", f"http://{host}:{port}/metrics").data.decode()
        for name in ("draining_answers", "backoff_answers"):
            assert f'cranberrywick_{name}_total{{class="reads"}}' in metrics
        assert 'unread_headers_total{header="server-mood"} 1.0' in metrics


def test_the_priority_of_a_request_is_logged_where_several_compete(tmp_path):
    """Guards against losses of urgent work that no report tells from the others'."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways

        def lines_of(request_id, target):
            fleet.call(
                gateway, "POST", target, b"p", PROMPT_HEADERS, request_id=request_id
            )
            found = f"event=request_ended .* request_id={request_id} .*"
            wait_for(lambda: re.search(found, gateway.log), "the line of the end")
            return re.search(found, gateway.log)[0]

        assert " priority=" not in lines_of("alone", "/prompts/1")
        changed = configuration(version=2)
        changed["routes"].append(route("drafts", "streaming", "pool", priority=3))
        changed["tenants"] = [{"name": "kask", "apiKeys": [KEY]}]
        fleet.configure(changed)
        wait_for(lambda: " version=2 " in gateway.log, "the second one")
        assert " priority=3 " in lines_of("low", "/drafts/1")
        assert " priority=1 " in lines_of("high", "/prompts/1")
        assert " priority=" not in lines_of("plain", "/reads/1")


def test_a_failed_attempt_names_the_segments_of_its_prompt(tmp_path):
    """Guards against crashes of engines that nothing relates to what they answered."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        for number in (1, 2):
            engine = fleet.endpoints[f"engine-{number}"]
            engine.crashes_under = has_shared_segment({"b2"})
        headers = {**PROMPT_HEADERS, "Cranberrywick-Prefix-Hash": "a1:40,b2:60,c3:3900"}
        fleet.call(gateway, "POST", "/prompts/1", b"p", headers, request_id="lost")
        found = "event=attempt_failed .* request_id=lost .*"
        wait_for(lambda: re.search(found, gateway.log), "the line of the attempt")
        line = re.search(found, gateway.log)[0]
        assert " segments=a1,b2,c3 " in line
        assert re.search(r" events_for=[0-9.e-]+ ", line)
