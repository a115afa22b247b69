"""The settings of one daemon: its addresses, failure domain and platform services.

The settings are read from a JSON file when the process starts and never change while
it runs. What operators can change while daemons run is in
`cranberrywick.configuration.document`.
"""

import json
from pathlib import Path
from typing import NamedTuple

from jsonschema import Draft202012Validator

from cranberrywick.configuration.schema import first_problem
from cranberrywick.errors import InvalidSettings

__all__ = ["DaemonSettings", "check_settings", "load_settings"]

# A shorter secret could be guessed offline from one recorded peer message.
PEER_SECRET_MINIMUM_CHARACTERS = 16

_NAME = {
    "type": "string",
    "pattern": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$(?!\n)",
    "description": "a name of up to 64 letters, digits, '.', '_' and '-'",
}
_LISTEN = {
    "type": "string",
    "pattern": r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$(?!\n)",
    "description": "an IPv4 address and a port such as '10.0.0.5:8080'; port 0"
    " lets the system choose",
}
_URL = {
    "type": "string",
    "pattern": r"^http://[^/\s]+/?$(?!\n)",
    "description": "a URL such as 'http://10.0.0.9:2379'",
}
_SCHEMA = {
    "type": "object",
    "description": "a JSON object of settings",
    "additionalProperties": False,
    "required": [
        "daemon_id",
        "failure_domain",
        "region",
        "listen",
        "peer_listen",
        "key_value",
        "vm_list",
        "weight_store",
        "peer_secret",
        "operator_keys",
    ],
    "properties": {
        "daemon_id": _NAME,
        "failure_domain": _NAME,
        "region": _NAME,
        "listen": _LISTEN,
        "peer_listen": _LISTEN,
        "key_value": {
            "type": "array",
            "items": _URL,
            "minItems": 1,
            "maxItems": 16,
            "description": "a list of one or more URLs of the key-value service",
        },
        "vm_list": _URL,
        "weight_store": _URL,
        "peer_secret": {
            "type": "string",
            "minLength": PEER_SECRET_MINIMUM_CHARACTERS,
            "maxLength": 1024,
            "description": "the fleet's secret, 16 to 1024 characters",
        },
        "operator_keys": {
            "type": "array",
            "items": {
                "type": "string",
                "pattern": r"^[0-9a-f]{64}$(?!\n)",
                "description": "the SHA-256 of an operator's key in lower-case hex",
            },
            "maxItems": 100,
            "description": "a list of SHA-256 digests of operators' keys",
        },
        "threads": {
            "type": "integer",
            "minimum": 1,
            "maximum": 4096,
            "description": "a whole number of threads from 1 to 4096",
        },
        "strategy": _NAME,
        "seed": {
            "type": "integer",
            "minimum": 0,
            "description": "a whole number, 0 or more",
        },
        "log_level": {
            "enum": ["debug", "info", "warning", "error"],
            "description": "one of debug, info, warning, error",
        },
    },
}
_VALIDATOR = Draft202012Validator(_SCHEMA)


class DaemonSettings(NamedTuple):
    """The settings of one daemon.

    ``listen`` and ``peer_listen`` are ``ip:port``; ``key_value``, ``vm_list`` and
    ``weight_store`` are URLs of the platform's services. ``operator_keys`` are the
    SHA-256 of operators' keys in lower-case hex.
    """

    daemon_id: str
    failure_domain: str
    region: str
    listen: str
    peer_listen: str
    key_value: tuple[str, ...]
    vm_list: str
    weight_store: str
    peer_secret: str
    operator_keys: tuple[str, ...]
    threads: int = 640
    strategy: str = "cranberrywick"
    seed: int = 0
    log_level: str = "info"

    def __repr__(self) -> str:
        # Settings that are logged or shown in a traceback must not reveal the secrets.
        shown = {**self._asdict(), "peer_secret": "...", "operator_keys": "..."}
        fields = ", ".join(f"{name}={value!r}" for name, value in shown.items())
        return f"DaemonSettings({fields})"


def load_settings(path: str | Path) -> DaemonSettings:
    """Read and check a settings file; raises `InvalidSettings`.

    >>> load_settings("daemon-1.json").failure_domain
    'tallinn-a'
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        document = json.loads(text)
    except OSError as error:
        raise InvalidSettings(f"{path}: can't be read: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise InvalidSettings(f"{path}: is not JSON: {error}") from error
    return check_settings(document)


def check_settings(document: object) -> DaemonSettings:
    """Return the settings that a decoded JSON document holds.

    Raises `InvalidSettings` with the JSON path, the value and what is expected.
    """
    problem = first_problem(_VALIDATOR, document)
    if problem is not None:
        raise InvalidSettings(str(problem))
    fields = dict(document)
    fields["key_value"] = tuple(fields["key_value"])
    fields["operator_keys"] = tuple(fields["operator_keys"])
    return DaemonSettings(**fields)
