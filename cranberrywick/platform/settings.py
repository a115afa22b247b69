"""Reading and decoding of the platform's settings file."""

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from cranberrywick.addresses import MAX_PORT
from cranberrywick.errors import InvalidConfiguration, InvalidSettings
from cranberrywick.fields import integer, mapping, number, string, strings
from cranberrywick.routing.model import BoundsSettings, GatewaySettings, VmLimits

__all__ = ["SETTINGS_VARIABLE", "decode_settings", "load_settings"]

# The environment variable that holds the file's path.
SETTINGS_VARIABLE = "CRANBERRYWICK_CONFIG"
# The entry of ``contracts`` by which a deployment says that callers and endpoints may
# read slowly.
PRESSURE_CONTRACT = "pressure"


def load_settings(path: str | None = None) -> GatewaySettings:
    """Read the settings file; raises `InvalidSettings`.

    Without ``path`` the environment variable `SETTINGS_VARIABLE` names the file.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise InvalidSettings(f"{SETTINGS_VARIABLE} is not set")
    try:
        fields = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise InvalidSettings(f"{path}: {error}") from error
    if not isinstance(fields, dict):
        raise InvalidSettings(f"{path}: not a JSON object")
    try:
        return decode_settings(fields)
    except InvalidConfiguration as error:
        raise InvalidSettings(f"{path}: {error.message}") from error


def decode_settings(fields: Mapping[str, Any]) -> GatewaySettings:
    """Return the settings; unknown fields are ignored.

    Raises `InvalidConfiguration` for a field of the wrong type.
    """
    listen = mapping(fields, "listen")
    ports = fields.get("internalPorts")
    if not isinstance(ports, list) or len(ports) != 2:
        raise InvalidConfiguration("internalPorts is not a pair")
    first_port, last_port = (
        integer({"internalPorts": port}, "internalPorts", None, 1, MAX_PORT)
        for port in ports
    )
    pressure = PRESSURE_CONTRACT in strings(fields, "contracts")
    return GatewaySettings(
        daemon_id=string(fields, "nodeName"),
        ip=string(fields, "ip"),
        failure_domain=string(fields, "zone"),
        entry_address=string(listen, "front", ""),
        directory_address=string(listen, "directory", ""),
        ready_address=string(listen, "ready", ""),
        internal_ports=(first_port, last_port),
        metrics_address=f"{string(fields, 'ip')}:{last_port}",
        store_address=string(mapping(fields, "platform"), "address"),
        seeds=strings(fields, "seeds"),
        bounds=_decode_bounds(mapping(fields, "bounds")),
        pressure=pressure,
        vm_limits=_decode_limits(mapping(fields, "limits")) if pressure else VmLimits(),
    )


def _decode_limits(limits: Mapping[str, Any]) -> VmLimits:
    # The file gives the share of one core, and how many times as fast a core is.
    cores = number(limits, "cpuShare", 0) * number(limits, "cores", 1)
    megabytes = number(limits, "memoryMb", 0)
    return VmLimits(cores, int(megabytes * 1e6), number(limits, "linkMbps", 0))


def _decode_bounds(bounds: Mapping[str, Any]) -> BoundsSettings:
    return BoundsSettings(
        contact_seconds=number(bounds, "contactMs", 3000) / 1000,
        drain_seconds=number(bounds, "drainMs", 2000) / 1000,
        grace_seconds=number(bounds, "graceS", 8),
        retry_ratio=number(bounds, "retryBudgetRatio", 0.1),
        retry_window_seconds=number(bounds, "budgetWindowS", 10),
        retry_slack=number(bounds, "budgetSlack", 0),
        free_seconds=number(bounds, "freeMs", 4000) / 1000,
        evacuate_seconds=number(bounds, "evacuateMs", 0) / 1000,
    )
