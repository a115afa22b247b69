"""A fleet of real gateway processes with a simulated platform, for tests.

    with running_gateways(tmp_path) as fleet:
        fleet.call(fleet.gateways[0], "GET", "/reads/1")

The stand-ins of the store and the endpoints run on an event loop in a thread of
their own; `Fleet.on_loop` runs a function there. The gateways are processes, as on
the platform.
"""

import asyncio
import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path
from typing import NamedTuple

import urllib3

from cranberrywick.standin.platform.demo import ENGINE
from cranberrywick.standin.platform.endpoint import EndpointStandIn
from cranberrywick.standin.platform.store import StoreStandIn

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "a-key"
# Longest wait for a condition or an answer, in seconds: the machine may be busy.
WAIT_SECONDS = 30.0
POLL_SECONDS = 0.02
# Number of fleets whose gateways have addresses of their own; later ones reuse those of
# fleets that have ended.
MAX_SUBNETS = 250


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route for the operators' configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 8000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        **fields,
    }


def configuration(version: int = 1, **fields: object) -> dict:
    """Return a configuration document with one route of each kind."""
    stream = {"streamResume": True, "gapAimMs": 250, "stickySessions": True}
    return {
        "version": version,
        "routes": [
            route("reads", "safe", "desk"),
            route("books", "unsafe", "desk"),
            route("prompts", "streaming", "pool", **stream),
        ],
        "services": [
            {"name": "desk", "coldStartS": 0, "coldPerS": 0},
            {"name": "pool", "coldStartS": 3, "coldPerS": 38, "engine": ENGINE},
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 1000,
            "idleTimeoutMs": 5000,
        },
        "tenants": [{"name": "kask", "apiKeys": [KEY], "priority": 1}],
        **fields,
    }


def endpoint_record(**fields: object) -> dict:
    """Return the record of a ready endpoint, as it writes it to the store."""
    return {
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1,
        **fields,
    }


class Gateway(NamedTuple):
    """One gateway process, its settings and its log file."""

    name: str
    process: subprocess.Popen
    settings: dict
    log_path: Path

    @property
    def front(self) -> str:
        return self.settings["listen"]["front"]

    @property
    def ready(self) -> str:
        return self.settings["listen"]["ready"]

    @property
    def directory(self) -> str:
        return self.settings["listen"]["directory"]

    @property
    def metrics(self) -> str:
        """The gateway's metrics, as text."""
        address = f"{self.settings['ip']}:{self.settings['internalPorts'][1]}"
        return urllib3.request("GET", f"http://{address}/metrics").data.decode()

    @property
    def held_bytes(self) -> float:
        """What the gateway holds for its connections, by its metrics."""
        (line,) = [
            each
            for each in self.metrics.splitlines()
            if each.startswith("cranberrywick_held_bytes{")
        ]
        return float(line.rpartition(" ")[2])

    @property
    def log(self) -> str:
        return self.log_path.read_text()


class Answer(NamedTuple):
    """What a caller received; ``whole`` is False if the connection ended too early.

    The status is 0 if it ended within the head.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True


class Fleet:
    """The running fleet: the store, the endpoints and the gateways.

    ``settings`` are added to those of each gateway.
    """

    settings: dict = {}

    def __init__(self, path: Path):
        self.path = path
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.store: StoreStandIn = self.on_loop(StoreStandIn)
        self.await_on_loop(self.store.start())
        self.endpoints: dict[str, EndpointStandIn] = {}
        # As registered: an endpoint's own address, or that of a proxy before it.
        self.addresses_by_id: dict[str, str] = {}
        self.gateways: list[Gateway] = []
        self._ids = count(1)
        self._subnet = 1 + next(_SUBNETS) % MAX_SUBNETS

    def on_loop(self, function: Callable, *arguments: object):
        """Run a function on the stand-ins' loop and return its result."""

        async def run():
            return function(*arguments)

        return self.await_on_loop(run())

    def await_on_loop(self, coroutine):
        """Run a coroutine on the stand-ins' loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(
            WAIT_SECONDS
        )

    def add_endpoint(
        self, endpoint_id: str, service: str, zone: str = "a", **shape: object
    ) -> EndpointStandIn:
        """Start an endpoint and register it."""
        endpoint = EndpointStandIn(endpoint_id, **shape)
        self.await_on_loop(endpoint.start())
        self.endpoints[endpoint_id] = endpoint
        self.register(endpoint_id, service, zone)
        return endpoint

    def register(
        self, endpoint_id: str, service: str, zone: str = "a", **fields: object
    ) -> None:
        """Write an endpoint's record to the store."""
        address = self.endpoints[endpoint_id].address
        record = endpoint_record(
            **{"service": service, "address": address, "zone": zone, **fields}
        )
        self.addresses_by_id[endpoint_id] = record["address"]
        self.on_loop(self.store.put_json, f"servers/{endpoint_id}", record)

    def configure(self, fields: dict) -> None:
        """Write the operators' configuration to the store."""
        self.on_loop(self.store.put_json, "op/config", fields)

    def start_gateway(
        self, name: str, wait: bool = True, store_mode: str = "open"
    ) -> Gateway:
        """Start a gateway process with a store address of its own.

        ``store_mode`` is how the store treats this gateway, as in `modes_by_listener`.
        """
        door = self.await_on_loop(self.store.add_listener(name))
        self.store.modes_by_listener[name] = store_mode
        settings = gateway_settings(name, self._ip(name), door) | self.settings
        settings["seeds"] = [g.settings["listen"]["control"] for g in self.gateways]
        path = self.path / f"{name}.json"
        path.write_text(json.dumps(settings))
        log_path = self.path / f"{name}.log"
        process = self.start_process(path, log_path)
        gateway = Gateway(name, process, settings, log_path)
        self.gateways.append(gateway)
        if wait:
            self.wait_ready(gateway)
        return gateway

    def restart(self, gateway: Gateway) -> Gateway:
        """Start a gateway that has ended again, with the same settings."""
        path = self.path / f"{gateway.name}.json"
        return gateway._replace(process=self.start_process(path, gateway.log_path))

    def start_process(self, settings: Path, log: Path) -> subprocess.Popen:
        """Start a gateway process, its output appended to ``log``."""
        return start_process(settings, log)

    def _ip(self, name: str) -> str:
        # All gateways use the same ports, as on the VMs of the platform, so each
        # needs an address of its own on the loopback network.
        return f"127.{self._subnet}.{os.getpid() % 200 + 1}.{len(self.gateways) + 2}"

    def wait_ready(self, gateway: Gateway) -> None:
        """Wait until the gateway answers that it is ready."""
        wait_for(lambda: self.is_ready(gateway), f"{gateway.name} to be ready")

    def is_ready(self, gateway: Gateway) -> bool:
        """Return whether the gateway answers that it is ready."""
        try:
            url = f"http://{gateway.ready}/ready"
            return urllib3.request("GET", url, retries=False).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def addresses(self, gateway: Gateway) -> list[str]:
        """Return the callers' addresses that a gateway's directory lists."""
        url = f"http://{gateway.directory}/resolve?name={HOST}&region=r&zone=a"
        return urllib3.request("GET", url, retries=False).json()["addresses"]

    def new_id(self) -> str:
        """Return a request id that was not used before."""
        return f"request-{next(self._ids)}"

    def call(
        self,
        gateway: Gateway,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        request_id: str | None = None,
        timeout: float = WAIT_SECONDS,
    ) -> Answer:
        """Send one request on a new connection and return the answer."""
        with self.connect(gateway) as connection:
            request_id = request_id or self.new_id()
            connection.sendall(
                request_bytes(method, target, body, headers or {}, request_id)
            )
            connection.settimeout(timeout)
            return read_answer(connection)

    def connect(self, gateway: Gateway, receive_bytes: int = 0) -> socket.socket:
        """Open a connection to the address of a gateway for callers.

        ``receive_bytes`` is the size of the caller's receive buffer, if set.
        """
        host, _, port = gateway.front.rpartition(":")
        connection = socket.socket()
        if receive_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        connection.settimeout(WAIT_SECONDS)
        connection.connect((host, int(port)))
        return connection

    def runs(self, request_id: str) -> int:
        """Return how many times endpoints ran a request."""
        return sum(endpoint.runs[request_id] for endpoint in self.endpoints.values())

    def close(self) -> None:
        """Kill the gateway processes and stop the event loop."""
        for gateway in self.gateways:
            gateway.process.kill()
            gateway.process.wait()
        self.await_on_loop(self._stop_stand_ins())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    async def _stop_stand_ins(self) -> None:
        # Their sockets would stay open until the end of the whole test run.
        for endpoint in self.endpoints.values():
            endpoint.stop()
            EndpointStandIn.by_address.pop(endpoint.address, None)
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def start_process(
    settings: Path, log: Path, script: str = "", **environment: str
) -> subprocess.Popen:
    """Start a gateway process, its output appended to ``log``.

    ``script`` is the name of one of the tests' scripts, which changes something in the
    gateway that it runs; ``environment`` has further variables for it.
    """
    program = [str(ROOT / "tests" / script)] if script else ["-m", "cranberrywick"]
    path = {"PYTHONPATH": str(ROOT)} if script else {}
    return subprocess.Popen(
        [sys.executable, *program, "gateway"],
        cwd=ROOT,
        env={
            **os.environ,
            "CRANBERRYWICK_CONFIG": str(settings),
            **path,
            **environment,
        },
        stdout=log.open("a"),
        stderr=subprocess.STDOUT,
    )


def free_ports(number: int) -> list[int]:
    """Return ports that are free on every loopback address."""
    sockets = [socket.socket() for _ in range(number)]
    try:
        for each in sockets:
            each.bind(("0.0.0.0", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def free_port_range(length: int) -> list[int]:
    """Return successive ports that are free on every loopback address."""
    while True:
        (first,) = free_ports(1)
        sockets = [socket.socket() for _ in range(length)]
        try:
            for offset, each in enumerate(sockets):
                each.bind(("0.0.0.0", first + offset))
            return [first + offset for offset in range(length)]
        except (OSError, OverflowError):
            continue
        finally:
            for each in sockets:
                each.close()


_PORTS: list[int] = []
_SUBNETS = count()


def gateway_settings(name: str, ip: str, store: str) -> dict:
    """Return a settings file as the platform writes it."""
    if not _PORTS:
        _PORTS.extend(free_ports(4))
        _PORTS.extend(free_port_range(3))
    front, ready, directory, control, low, _, high = _PORTS
    return {
        "nodeName": name,
        "role": "gateway",
        "ip": ip,
        "zone": "a",
        "region": "r",
        "zones": {"a": "r", "b": "r"},
        "listen": {
            "front": f"{ip}:{front}",
            "ready": f"{ip}:{ready}",
            "directory": f"{ip}:{directory}",
            "control": f"{ip}:{control}",
        },
        "internalPorts": [low, high],
        "seeds": [],
        "heartbeatMs": 1200,
        "bounds": {
            "contactMs": 3000,
            "drainMs": 2000,
            "graceS": 8,
            "evacuateMs": 5000,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetSlack": 100,
            "coldOver": 1.5,
            "coldSlack": 5,
            "stall_ms": 1500,
            "holdMaxMs": 20000,
        },
        "platform": {"address": store, "form": "kv"},
    }


def request_bytes(
    method: str, target: str, body: bytes, headers: dict[str, str], request_id: str
) -> bytes:
    """Return a request as a caller of the platform sends it."""
    fields = {
        "Host": HOST,
        "Cranberrywick-Request-Id": request_id,
        "Cranberrywick-Deadline-Ms": "5000",
        "Authorization": f"Token {KEY}",
        "Content-Length": str(len(body)),
        **headers,
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


PROMPT_HEADERS = {
    "Cranberrywick-Model": "m",
    "Cranberrywick-Token-Count": "4000,400",
    "Cranberrywick-Prefix-Hash": "5c1e07a2:4000",
}


def read_answer(connection: socket.socket) -> Answer:
    """Read one answer by its framing, also one that ends too early."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return Answer(0, {}, data, whole=False)
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if "content-length" in headers:
        return _read_length(connection, status, headers, rest)
    return _read_chunks(connection, status, headers, rest)


def _read_length(connection, status, headers, rest) -> Answer:
    length = int(headers["content-length"])
    while len(rest) < length:
        part = connection.recv(65536)
        if not part:
            return Answer(status, headers, rest, whole=False)
        rest += part
    return Answer(status, headers, rest[:length])


def _read_chunks(connection, status, headers, rest) -> Answer:
    body = b""
    while True:
        while b"\r\n" not in rest:
            part = connection.recv(65536)
            if not part:
                return Answer(status, headers, body, whole=False)
            rest += part
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        while len(rest) < length + 2:
            part = connection.recv(65536)
            if not part:
                return Answer(status, headers, body + rest[:length], whole=False)
            rest += part
        if length == 0:
            return Answer(status, headers, body)
        body += rest[:length]
        rest = rest[length + 2 :]


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds; fails with ``what`` after `WAIT_SECONDS`."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"waited in vain for {what}"
        time.sleep(POLL_SECONDS)


@contextmanager
def running_gateways(
    path: Path, gateways: int = 1, fleet_type: type["Fleet"] = Fleet
) -> Iterator[Fleet]:
    """Run a configured fleet of two endpoints of each service and ``gateways``."""
    fleet = fleet_type(path)
    try:
        fleet.configure(configuration())
        for number in (1, 2):
            fleet.add_endpoint(f"desk-{number}", "desk")
            fleet.add_endpoint(f"engine-{number}", "pool")
        for number in range(gateways):
            fleet.start_gateway(f"gateway-{number}", wait=False)
        for gateway in fleet.gateways:
            fleet.wait_ready(gateway)
        yield fleet
    finally:
        fleet.close()
