"""A daemon's registration in the store, with gateway processes."""

from gateway_fleet import running_gateways, wait_for


def test_a_registration_is_logged(tmp_path):
    """Guards against an error in place of the line that names the lease."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        wait_for(lambda: "event=registered" in gateway.log, "the registration")
        assert "library_message" not in gateway.log
