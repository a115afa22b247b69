"""Gateways as processes, started as the deploy file says, before the stand-ins."""

import asyncio
import json
import os
import shlex
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from common_2.http import read_message
from common_2.store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
READY_SECONDS = 20.0
# Figures of a small deployment, from the example in DEPLOY.md.
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
    "budgetSlack": 106,
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
CONTRACTS = "base drain config cost retry recover engine stream tenants places"


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


def route(prefix, kind, service, timeout_ms, **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 300,
        "priority": 1,
        "maxAttempts": 2,
        "public": False,
        **fields,
    }


def configuration(routes, services, version=1):
    """Return the operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
    }


class Record:
    """What was sent, answered and run, with moments in seconds from the start."""

    def __init__(self, path):
        self._path = path
        self._began = time.monotonic()
        self._lines = []

    def __call__(self, line):
        self._lines.append(f"{time.monotonic() - self._began:9.4f} {line}")

    def write(self):
        self._path.write_text("\n".join(self._lines) + "\n")


class Gateway:
    """One machine's process; ``settings`` are those of its file."""

    def __init__(self, settings, folder):
        self.settings = settings
        self.front = settings["listen"]["front"]
        self._path = folder / f"{settings['nodeName']}.json"
        self._path.write_text(json.dumps(settings))
        self.log_path = folder / f"{settings['nodeName']}.log"
        self.process = None

    @property
    def name(self):
        return self.settings["nodeName"]

    def start(self):
        """Start the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        passed = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self.process = subprocess.Popen(
            shlex.split(deploy["roles"]["gateway"]["run"]),
            cwd=ROOT,
            env={
                **passed,
                "CRANBERRYWICK_CONFIG": str(self._path),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
            },
            stdout=self.log_path.open("a"),
            stderr=subprocess.STDOUT,
        )


class Fleet:
    """The store, the gateways and their folder."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.gateways = []
        self._folder = tempfile.TemporaryDirectory()
        self._subnet = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
        self.ip = f"{self._subnet}.1"

    async def start(self, names, document, runners):
        """Start everything; return once all gateways are ready and know one another."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("the deploy file's build has not been run")
        await self.store.start(self.ip)
        self.store.put("op/config", document)
        for runner in runners:
            await runner.start(self.ip)
            self.store.put(f"servers/{runner.runner_id}", runner.entry("tln-a"))
        ports = _free_ports(4) + _free_port_range(16)
        for number, name in enumerate(names, start=2):
            ip = f"{self._subnet}.{number}"
            settings = self._settings(name, ip, ports)
            self.gateways.append(Gateway(settings, Path(self._folder.name)))
        seeds = [each.settings["listen"]["control"] for each in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.settings["seeds"] = seeds
            gateway._path.write_text(json.dumps(gateway.settings))
            gateway.start()
        await self._wait_ready()

    def _settings(self, name, ip, ports):
        front, ready, control, directory, low = ports[:5]
        return {
            "nodeName": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "directory", "control"],
            "ip": ip,
            "zone": "tln-a",
            "region": "tallinn",
            "zones": {"tln-a": "tallinn"},
            "listen": {
                "front": f"{ip}:{front}",
                "ready": f"{ip}:{ready}",
                "control": f"{ip}:{control}",
                "directory": f"{ip}:{directory}",
            },
            "internalPorts": [low, low + 15],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": [*CONTRACTS.split(), "platform", "spans"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.store.address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    async def _wait_ready(self):
        deadline = time.monotonic() + READY_SECONDS
        for gateway in self.gateways:
            while await self._ready_and_listed(gateway) is False:
                if time.monotonic() > deadline:
                    raise CannotRun(f"{gateway.name} did not become ready")
                await asyncio.sleep(0.05)

    async def _ready_and_listed(self, gateway):
        listen = gateway.settings["listen"]
        ready = await get(listen["ready"], "/ready")
        query = f"/resolve?name={HOST}&region=tallinn&zone=tln-a"
        directory = await get(listen["directory"], query)
        if ready is None or directory is None or " 200 " not in ready[0]:
            return False
        addresses = json.loads(directory[2] or b"{}").get("addresses", [])
        return len(addresses) == len(self.gateways)

    def close(self):
        """End all processes that were started here."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()
        for gateway in self.gateways:
            if gateway.log_path.exists():
                for line in gateway.log_path.read_text().splitlines():
                    if (
                        "level=error" in line
                        or "Error" in line[:60]
                        or "=gateway_stopped" in line
                    ):
                        self.record(f"log of {gateway.name}: {line[:300]}")
        self._folder.cleanup()


async def get(address, target):
    """Return an answer's first line, headers and body; None without one."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return None
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        async with asyncio.timeout(2):
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


def request_bytes(method, path, request_id, deadline_ms, headers=(), body=b""):
    """Return a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Cranberrywick-Request-Id: {request_id}",
        f"Cranberrywick-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {KEY}",
        *headers,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def _free_ports(number):
    sockets = [socket.socket() for _ in range(number)]
    try:
        for each in sockets:
            each.bind(("0.0.0.0", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def _free_port_range(length):
    while True:
        (first,) = _free_ports(1)
        sockets = [socket.socket() for _ in range(length)]
        try:
            for offset, each in enumerate(sockets):
                each.bind(("0.0.0.0", first + offset))
            return list(range(first, first + length))
        except (OSError, OverflowError):
            continue
        finally:
            for each in sockets:
                each.close()
