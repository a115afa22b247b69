"""The platform's settings file, decoded."""

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from cranberrywick.errors import InvalidConfiguration, InvalidSettings
from cranberrywick.platform.fields import number, strings, table, text
from cranberrywick.routing.model import BoundsSettings, GatewaySettings

__all__ = ["SETTINGS_VARIABLE", "decode_settings", "load_settings"]

# The environment variable that holds the file's path.
SETTINGS_VARIABLE = "CRANBERRYWICK_CONFIG"


def load_settings(path: str | None = None) -> GatewaySettings:
    """Read the settings file; raises `InvalidSettings`."""
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise InvalidSettings(f"{SETTINGS_VARIABLE} is not set")
    try:
        fields = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise InvalidSettings(f"{path}: {error}") from error
    if not isinstance(fields, dict):
        raise InvalidSettings(f"{path}: not a JSON object")
    try:
        return decode_settings(fields)
    except InvalidConfiguration as error:
        raise InvalidSettings(f"{path}: {error.message}") from error


def decode_settings(fields: Mapping[str, Any]) -> GatewaySettings:
    """Return the settings; fields that are not known are ignored."""
    listen = table(fields, "listen")
    ports = fields.get("internalPorts")
    if not isinstance(ports, list) or len(ports) != 2:
        raise InvalidConfiguration("internalPorts is not a pair")
    return GatewaySettings(
        daemon_id=text(fields, "nodeName"),
        ip=text(fields, "ip"),
        failure_domain=text(fields, "zone"),
        entry_address=text(listen, "front", ""),
        directory_address=text(listen, "directory", ""),
        ready_address=text(listen, "ready", ""),
        internal_ports=(int(ports[0]), int(ports[1])),
        metrics_address=f"{text(fields, 'ip')}:{int(ports[1])}",
        store_address=text(table(fields, "platform"), "address"),
        seeds=strings(fields, "seeds"),
        bounds=_decode_bounds(table(fields, "bounds")),
    )


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
