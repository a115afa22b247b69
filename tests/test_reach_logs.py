"""Log lines and metrics about endpoints that a gateway does not reach."""

import urllib3
from cut_fleet import running_cut_fleet
from gateway_fleet import wait_for


def test_logs_and_metrics_tell_a_lost_link_from_a_dead_endpoint(tmp_path):
    """On-call engineers see at which daemon no endpoint accepts a connection."""
    with running_cut_fleet(tmp_path, gateways=2) as fleet:
        cut, whole = fleet.gateways
        fleet.cut(whole, "refuse", ["desk-1"])
        for _ in range(12):
            fleet.call(whole, "GET", "/reads/1")
        assert "event=service_reach_changed" not in whole.log
        fleet.cut(cut, "refuse")
        for _ in range(6):
            fleet.call(cut, "GET", "/reads/1")
        wait_for(lambda: "reach=none before=" in cut.log, "the line")
        line = next(x for x in cut.log.splitlines() if "reach=none" in x)
        assert "service=desk" in line
        assert "known=3" in line
        assert "unreached=3" in line and "ConnectionRefused" in line
        fleet.restore(cut)
        wait_for(
            lambda: (
                fleet.call(cut, "GET", "/reads/1").status == 200
                and "reach=full before=poor" in cut.log
            ),
            "the line at the end",
        )
        host, port = cut.settings["ip"], cut.settings["internalPorts"][1]
        metrics = urllib3.request("GET", f"http://{host}:{port}/metrics").data.decode()
        for outcome in ("accepted", "failed"):
            assert f'endpoint_connections_total{{outcome="{outcome}"}}' in metrics
