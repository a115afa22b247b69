"""A gateway process whose links to endpoints can be cut, started by `cut_fleet`.

The file that the variable `CUT_FILE` names holds the cut as JSON: the addresses that
can't be reached and the mode, which says what happens to connections there.

- "hang": new connections are not answered and those under way fall silent.
- "refuse": new connections are refused and those under way live on.
- "reset": new connections are refused and those under way are reset.
- "slow": new connections take `SLOW_SECONDS` longer.
"""

import asyncio
import json
import os
import time
from pathlib import Path

from cranberrywick.addresses import Address
from cranberrywick.cli.main import main
from cranberrywick.gateway import upstream
from cranberrywick.gateway.connecting import open_connection

CUT_PATH = Path(os.environ["CUT_FILE"])
OWN_IP = json.loads(Path(os.environ["CRANBERRYWICK_CONFIG"]).read_text())["ip"]
POLL_SECONDS = 0.01
SLOW_SECONDS = 0.02

_transports_by_address: dict[str, set[asyncio.Transport]] = {}
_watchers: set[asyncio.Task] = set()


def _read_cut() -> dict:
    try:
        return json.loads(CUT_PATH.read_text())
    except (OSError, ValueError):
        return {"mode": "", "addresses": []}


async def _watch() -> None:
    paused: set[asyncio.Transport] = set()
    while True:
        await asyncio.sleep(POLL_SECONDS)
        cut = _read_cut()
        cut_transports = {
            transport
            for address in cut["addresses"]
            for transport in _transports_by_address.get(address, ())
            if not transport.is_closing()
        }
        if cut["mode"] == "reset":
            for transport in cut_transports:
                transport.abort()
        silent = cut_transports if cut["mode"] == "hang" else set()
        for transport in silent - paused:
            transport.pause_reading()
        for transport in paused - silent:
            if not transport.is_closing():
                transport.resume_reading()
        paused = silent


async def _open(parsed: Address, timeout: float):
    began = time.monotonic()
    if not _watchers:
        _watchers.add(asyncio.get_running_loop().create_task(_watch()))
    address = f"{parsed.host}:{parsed.port}"
    cut = _read_cut()
    if address in cut["addresses"]:
        async with asyncio.timeout(timeout):
            if cut["mode"] == "slow":
                await asyncio.sleep(SLOW_SECONDS)
            elif cut["mode"] == "hang":
                await asyncio.Event().wait()
            else:
                raise ConnectionRefusedError(address)
    left = began + timeout - time.monotonic()
    # From the gateway's own address, by which endpoints tell gateways apart.
    reader, writer = await open_connection(parsed, left, OWN_IP)
    transports = _transports_by_address.setdefault(address, set())
    transports.difference_update([each for each in transports if each.is_closing()])
    transports.add(writer.transport)
    return reader, writer


upstream.open_connection = _open

if __name__ == "__main__":
    main()
