"""The project's daemons as processes, started with the command of the deploy file."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from http1 import Answer, call
from platform_standins import Store

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ZONES = ("attica-a", "attica-b", "attica-c")
READY_SECONDS = 30.0
# Of the pages' sheet and examples for the site aigaion-slots.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "stretchMs": 5000,
    "failClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 100,
    "coldOver": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "holdMaxMs": 20000,
    "freeMs": 4000,
    "idleMaxMs": 9000,
    "ttl_max_s": 5,
}
CONTRACTS = (
    "base drain config cost retry recover engine stream tenants places platform spans"
)


class Record:
    """What was sent, answered and run, a line each, with seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        seconds = time.monotonic() - self.started_at
        print(f"{seconds:8.3f} s  {text}", file=self._file, flush=True)

    def since(self, moment: float) -> str:
        """Return a moment of the monotonic clock as seconds since the start."""
        return f"{moment - self.started_at:.3f} s"


class Daemon:
    """One daemon of the deploy file's role, with addresses of its own."""

    def __init__(self, name: str, zone: str, ip: str, ports: list[int], store: str):
        front, ready, control, directory, low, high = ports
        self.name = name
        self.front = f"{ip}:{front}"
        self.ready = f"{ip}:{ready}"
        self.directory = f"{ip}:{directory}"
        self.control = f"{ip}:{control}"
        self.process: subprocess.Popen[bytes] | None = None
        self.settings: dict[str, Any] = {
            "nodeName": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "directory", "control"],
            "ip": ip,
            "zone": zone,
            "region": "attica",
            "zones": dict.fromkeys(ZONES, "attica"),
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
                "directory": self.directory,
            },
            "internalPorts": [low, high],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": CONTRACTS.split(),
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }


class Fleet:
    """The store, and daemons as processes; ``folder`` holds settings and logs."""

    def __init__(self, folder: Path, record: Record):
        self.folder = folder
        self.record = record
        self.store = Store()
        self.daemons: list[Daemon] = []
        self._ports = _free_ports(6)
        self._net = f"127.{os.getpid() % 200 + 20}.{int(time.time()) % 250 + 1}"
        self._hosts = 1
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["gateway"]["run"].split()

    def new_ip(self) -> str:
        """Return a loopback address that nothing else of this run uses."""
        self._hosts += 1
        return f"{self._net}.{self._hosts}"

    async def add_daemon(self, name: str, zone: str) -> Daemon:
        """Prepare a daemon; `start` starts its process."""
        ip = self.new_ip()
        store = await self.store.listen(name, self.new_ip())
        daemon = Daemon(name, zone, ip, self._ports, store)
        self.daemons.append(daemon)
        return daemon

    def start(self, daemon: Daemon) -> None:
        """Start a daemon's process, with the settings and environment of the pages."""
        seeds = [each.control for each in self.daemons[:3]]
        settings = {**daemon.settings, "seeds": seeds}
        path = self.folder / f"{daemon.name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CRANBERRYWICK_CONFIG"] = str(path)
        with (self.folder / f"{daemon.name}.log").open("ab") as log:
            daemon.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"{daemon.name} is started")

    async def start_all(self) -> None:
        """Start all daemons and wait until each is ready and knows the others."""
        for daemon in self.daemons:
            self.start(daemon)
        for daemon in self.daemons:
            await self.wait_ready(daemon)
        await wait_for(self._all_listed, "the directories to name every daemon")

    async def _all_listed(self) -> bool:
        listed = [await self.resolve(daemon) for daemon in self.daemons]
        return all(len(addresses) == len(self.daemons) for addresses in listed)

    async def wait_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon says that it is ready."""

        async def is_ready() -> bool:
            answer = await call(daemon.ready, "GET", "/ready", [], patience=1.0)
            return answer.status == 200

        await wait_for(is_ready, f"{daemon.name} to be ready")

    async def resolve(self, daemon: Daemon) -> list[str]:
        """Return the addresses that a daemon's directory names."""
        target = f"/resolve?name={HOST}&region=attica&zone=attica-a"
        answer = await call(daemon.directory, "GET", target, [], patience=1.0)
        if answer.status != 200:
            return []
        return json.loads(answer.body)["addresses"]

    def signal(self, daemon: Daemon, number: signal.Signals) -> float:
        """Send a signal to a daemon; return the moment."""
        daemon.process.send_signal(number)
        self.record(f"{daemon.name} gets {number.name}")
        return time.monotonic()

    async def wait_exit(self, daemon: Daemon, seconds: float) -> bool:
        """Wait until a daemon has ended; return whether it has."""
        until = time.monotonic() + seconds
        while daemon.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        code = daemon.process.poll()
        if code is not None:
            self.record(f"{daemon.name} has ended with code {code}")
        return code is not None

    def close(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()


async def wait_for(condition: Callable[[], Any], what: str) -> None:
    """Wait until a condition holds; raises `TimeoutError`."""
    until = time.monotonic() + READY_SECONDS
    while not await condition():
        if time.monotonic() > until:
            raise TimeoutError(f"waited in vain for {what}")
        await asyncio.sleep(0.05)


async def send(
    fleet: Fleet,
    daemon: Daemon,
    request_id: str,
    method: str,
    target: str,
    deadline_ms: int,
    tokens: str = "",
    body: bytes = b"",
    patience: float = 30.0,
) -> Answer:
    """Send a client's request to a daemon, and record it and what came back."""
    headers = [
        ("Host", HOST),
        ("Cranberrywick-Request-Id", request_id),
        ("Cranberrywick-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Token {KEY}"),
    ]
    if tokens:
        prompt = int(tokens.split(",")[0])
        prefix = f"5c1e07a2:40,{abs(hash(request_id)) % 2**32:08x}:{prompt - 40}"
        headers.append(("Cranberrywick-Model", "m"))
        headers.append(("Cranberrywick-Token-Count", tokens))
        headers.append(("Cranberrywick-Prefix-Hash", prefix))
    what = f"{method} {target}, {tokens or 'no'} tokens, deadline {deadline_ms} ms"
    fleet.record(f"client sends {request_id} to {daemon.name}: {what}")
    answer = await call(
        daemon.front, method, target, headers, body, request_id, patience
    )
    retry = answer.headers.get("retry-after", "none")
    fleet.record(
        f"client: {request_id} ends '{answer.end}' after "
        f"{answer.ended_at - answer.sent_at:.3f} s, status {answer.status}, "
        f"Retry-After {retry}, {len(answer.body)} bytes"
    )
    return answer


def _free_ports(number: int) -> list[int]:
    """Return ports that are free on every loopback address, the last two in a row."""
    while True:
        sockets = [socket.socket() for _ in range(number - 2)]
        run = [socket.socket() for _ in range(4)]
        try:
            for each in sockets:
                each.bind(("0.0.0.0", 0))
            ports = [each.getsockname()[1] for each in sockets]
            run[0].bind(("0.0.0.0", 0))
            first = run[0].getsockname()[1]
            for offset, each in enumerate(run[1:], start=1):
                each.bind(("0.0.0.0", first + offset))
            return [*ports, first, first + 3]
        except (OSError, OverflowError):
            continue
        finally:
            for each in [*sockets, *run]:
                each.close()
