"""Which services are contended, by the routes that lead to them.

Guards against decisions that change where no deployment asks for it.
"""

from cranberrywick.bench.prompt_engines import PROFILE
from cranberrywick.platform.settings import decode_settings
from cranberrywick.routing.model import (
    GatewayConfiguration,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    VmLimits,
)
from cranberrywick.routing.table import RouteTable

LIMITS = RequestLimits(16384, 4194304, 3.0, 15.0)


def route(prefix, priority, **weights):
    return Route(
        prefix,
        "example.org",
        prefix,
        RouteKind.STREAMING,
        tuple(weights.items()),
        10.0,
        0.3,
        0.25,
        priority,
        2,
        False,
        True,
    )


def contended(*routes):
    services = {
        "drafting": Service("drafting", 0.0, 0.0, PROFILE),
        "notices": Service("notices", 0.0, 0.0, None),
    }
    configuration = GatewayConfiguration(1, routes, services, LIMITS, None)
    return RouteTable(configuration).contended_services


def test_one_priority_is_not_contended():
    """Guards against deferrals where all requests are equally urgent."""
    assert not contended(route("/a/", 1, drafting=1.0), route("/b/", 1, drafting=1.0))


def test_two_priorities_of_an_engine_service_are_contended():
    """Guards against requests of low priority that take the room of urgent ones."""
    urgent = route("/a/", 0, drafting=1.0)
    assert contended(urgent, route("/b/", 2, drafting=0.5, notices=0.5)) == {"drafting"}


def test_services_without_engines_and_weights_of_zero_do_not_count():
    """Guards against plain calls and unused routes that switch decisions on."""
    unused = route("/b/", 2, drafting=0.0, notices=1.0)
    both = route("/a/", 0, drafting=1.0, notices=1.0)
    assert not contended(both, unused)


def settings(**fields):
    known = {
        "nodeName": "e1",
        "ip": "10.0.0.1",
        "zone": "fd-a",
        "listen": {},
        "internalPorts": [7000, 7015],
        "platform": {"address": "10.0.0.2:8000"},
        "bounds": {},
    }
    return decode_settings(known | fields)


def test_settings_state_pressure_and_limits():
    """Guards against VMs whose cores are counted without their speed."""
    limits = {"cpuShare": 0.5, "cores": 3, "memoryMb": 200, "linkMbps": 10.0}
    known = settings(contracts=["base", "pressure"], limits=limits)
    assert known.pressure
    assert known.vm_limits == VmLimits(1.5, 200_000_000, 10.0)


def test_settings_without_them_ask_for_nothing():
    """Guards against a daemon that protects itself where nothing calls for it."""
    known = settings(contracts=["base"])
    assert not known.pressure
    assert known.vm_limits == VmLimits(0.0, 0, 0.0)
