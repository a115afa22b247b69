"""A gateway process in which some methods fail, for tests of its stop.

The variable `FAILING` names them, as ``module:Class.method``, separated by commas. They
raise an exception once the process has been told to stop.
"""

import importlib
import os

from cranberrywick.cli.main import main
from cranberrywick.gateway.app import Gateway

_stopping = []
_ask_to_stop = Gateway._ask_to_stop


def _note_stop(gateway):
    _stopping.append(gateway)
    _ask_to_stop(gateway)


def _fail(name):
    module, _, path = name.partition(":")
    owner, method = path.split(".")
    owner = getattr(importlib.import_module(module), owner)
    sound = getattr(owner, method)

    def failing(*arguments, **named):
        if _stopping:
            raise RuntimeError(f"{method} fails")
        return sound(*arguments, **named)

    setattr(owner, method, failing)


Gateway._ask_to_stop = _note_stop
for _name in filter(None, os.environ["FAILING"].split(",")):
    _fail(_name)

if __name__ == "__main__":
    main()
