"""Rate limits that endpoints name, before real gateways."""

import urllib3
from gateway_fleet import running_gateways


def test_logs_and_metrics_show_who_was_told_a_limit(tmp_path):
    """On-call engineers see which daemon knew a limit, and since which answer."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        for endpoint in fleet.endpoints.values():
            endpoint.rate_limit = 2.5
        assert fleet.call(gateway, "GET", "/reads/1", request_id="first").status == 200
        (line,) = [li for li in gateway.log.splitlines() if "_limit_changed" in li]
        assert " limit=2.5 previous=inf status=200 request_id=first" in line
        host, port = gateway.settings["ip"], gateway.settings["internalPorts"][1]
        metrics = urllib3.request("GET", f"http://{host}:{port}/metrics").data.decode()
        assert 'cranberrywick_limited_answers_total{class="reads"} 1.0' in metrics
