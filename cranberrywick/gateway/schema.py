"""The Cap'n Proto schema of what gateways tell one another."""

from importlib.resources import as_file, files
from typing import Any

import capnp

__all__ = ["SCHEMA"]


def _load() -> Any:
    with as_file(files("cranberrywick.gateway") / "fleet.capnp") as path:
        return capnp.load(str(path))


SCHEMA = _load()
