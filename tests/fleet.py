"""A small fleet of real processes for tests: stand-ins and daemons on loopback.

    with running_fleet(tmp_path) as fleet:
        fleet.daemons_by_id["entry-a"].address

Every process prints ``ready HOST:PORT`` once it listens. Processes are started
together and only then waited for, since each takes some time to import its libraries.
"""

import json
import re
import select
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager
from hashlib import sha256
from pathlib import Path
from typing import NamedTuple

import urllib3

from cranberrywick.decisions.entries import ENTRIES

__all__ = [
    "CALLER_KEY",
    "OPERATOR_KEY",
    "Fleet",
    "Process",
    "list_vm",
    "running_fleet",
    "wait_for",
]

ROOT = Path(__file__).resolve().parent.parent
CALLER_KEY = "caller-key"
OPERATOR_KEY = "operator-key"
PEER_SECRET = "a secret of the test fleet"
FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")
REGION = "region"
# Longest wait for a process or a condition, in seconds. It is long because the machine
# may be busy; no test asserts anything about time.
WAIT_SECONDS = 60.0
POLL_SECONDS = 0.02


def digest(key: str) -> str:
    """Return the digest by which configuration and settings hold a key."""
    return sha256(key.encode()).hexdigest()


def targets(first_token_seconds: float, completion_seconds: float) -> dict:
    return {
        "first_token_seconds": first_token_seconds,
        "completion_seconds": completion_seconds,
        "between_tokens_seconds": 1.0,
        "attainment": 0.95,
    }


# The targets are wide, so that a busy machine does not change what a caller receives.
CONFIGURATION = {
    "organisations": {"kask": {"key_sha256": [digest(CALLER_KEY)]}},
    "classes": {
        "summary": targets(30.0, 60.0),
        "review": targets(60.0, 300.0),
        "booking": targets(30.0, 60.0),
    },
    "models": {
        "drafter": {
            "context_tokens": 100_000,
            "class": "summary",
            "versions": ["1"],
            "adapters": [],
        }
    },
    "services": {
        "booking": {
            "class": "booking",
            "calls": [{"method": "POST", "path": "/slots", "idempotent": False}],
        }
    },
    "endpoint_kinds": {
        "drafting": {
            "type": "engine",
            "models": ["drafter"],
            "checks_fencing": True,
            "slots": 8,
            "cold_slots": 1,
        },
        "slots": {"type": "service", "service": "booking", "slots": 8},
    },
    "failure_domains_out": [],
}


class Process:
    """One ``cranberrywick`` process, whose standard error is written to a log file."""

    def __init__(self, name: str, arguments: list[str], folder: Path):
        self.name = name
        self.log_file = folder / f"{name}.log"
        with self.log_file.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "cranberrywick", *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        self.address = ""

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._process.poll()

    def wait_until_ready(self) -> None:
        """Read the ready line; fail with the log's content if there is none in time."""
        # A process whose start failed may still be kept alive by one of its threads,
        # so that waiting for the end of its output could last forever.
        readable, _, _ = select.select([self._process.stdout], [], [], WAIT_SECONDS)
        line = self._process.stdout.readline() if readable else ""
        word, _, rest = line.partition(" ")
        assert word == "ready", f"{self.name}: {line}{self.log_file.read_text()}"
        self.address = rest.split()[0]

    @property
    def peer_address(self) -> str:
        """A daemon's address for its peers, which it logs before its ready line."""
        return re.search(r" peer_address=(\S+)", self.log_file.read_text())[1]

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait(self) -> int:
        """Wait for the process to end and return its exit code."""
        return self._process.wait(WAIT_SECONDS)

    def stop(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait(WAIT_SECONDS)
        self._process.stdout.close()


class Fleet(NamedTuple):
    """The running processes of a fleet."""

    key_value: Process
    vm_list: Process
    engines: tuple[Process, ...]
    services: tuple[Process, ...]
    daemons_by_id: dict[str, Process]

    @property
    def daemons(self) -> list[Process]:
        """The daemons in the order of their ids."""
        return [daemon for _, daemon in sorted(self.daemons_by_id.items())]

    def set_fault(self, process: Process, kind: str, **fields: object) -> None:
        """Set a fault at a stand-in; ``kind`` and ``fields`` are its JSON object."""
        post(process, "/faults", {"kind": kind, **fields})

    def clear_faults(self, process: Process) -> None:
        """Clear a stand-in's faults and release the answers that it holds back."""
        urllib3.request("DELETE", f"http://{process.address}/faults", retries=False)


def post(process: Process, path: str, document: Mapping[str, object]) -> dict:
    """Post a JSON document to a stand-in and return the JSON answer."""
    url = f"http://{process.address}{path}"
    return urllib3.request("POST", url, json=document, retries=False).json()


def get(process: Process, path: str) -> dict:
    """Get a path from a process and return the JSON answer."""
    url = f"http://{process.address}{path}"
    return urllib3.request("GET", url, retries=False).json()


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Poll until the condition holds; fail after `WAIT_SECONDS`."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {what}"
        time.sleep(POLL_SECONDS)


@contextmanager
def running_fleet(
    folder: Path,
    *,
    daemons: int = 3,
    engines: int = 2,
    engine_options: tuple[str, ...] = (),
    configuration: Mapping[str, object] = CONFIGURATION,
) -> Iterator[Fleet]:
    """Run a fleet until the end of the block.

    At its beginning the VM list holds every entry and endpoint, and every daemon is
    ready and names as many entries to callers as there are, up to `ENTRIES`.
    """
    with ExitStack() as stack:
        standins = _start_standins(stack, folder, engines, engine_options)
        key_value, vm_list, weights, service, *engine_processes = standins
        put_configuration(key_value, configuration)
        _list_endpoints(vm_list, engine_processes, service)
        daemons_by_id = _start_daemons(stack, folder, daemons, standins)
        for number, (daemon_id, daemon) in enumerate(daemons_by_id.items()):
            fields = {"address": daemon.address, "peer_address": daemon.peer_address}
            list_vm(vm_list, daemon_id, "entry", number, fields)
        fleet = Fleet(
            key_value, vm_list, tuple(engine_processes), (service,), daemons_by_id
        )
        _wait_until_serving(fleet)
        yield fleet


def _start(stack: ExitStack, folder: Path, name: str, *arguments: str) -> Process:
    process = Process(name, list(arguments), folder)
    stack.callback(process.stop)
    return process


def _start_standins(
    stack: ExitStack, folder: Path, engines: int, engine_options: tuple[str, ...]
) -> list[Process]:
    processes = [
        _start(stack, folder, kind, "standin", kind)
        for kind in ("kv", "vms", "weights", "service")
    ]
    options = ("--model", "drafter", "--checks-fencing", *engine_options)
    processes += [
        _start(stack, folder, f"engine-{number}", "standin", "engine", *options)
        for number in range(engines)
    ]
    for process in processes:
        process.wait_until_ready()
    return processes


def put_configuration(key_value: Process, document: Mapping[str, object]) -> None:
    """Store version 1 of the configuration, as an operator's apply would."""
    value = {"change_id": "first", "version": 1, "document": document}
    answer = urllib3.request(
        "PUT",
        f"http://{key_value.address}/v1/keys/config%2Fcurrent",
        json={"value": json.dumps(value)},
        retries=False,
    )
    assert answer.status == 200, answer.data


def _list_endpoints(vm_list: Process, engines: list[Process], service: Process) -> None:
    for number, engine in enumerate(engines):
        fields = {"kind": "drafting", "address": engine.address}
        list_vm(vm_list, f"engine-{number}", "endpoint", number, fields)
    fields = {"kind": "slots", "address": service.address}
    list_vm(vm_list, "service-0", "endpoint", len(FAILURE_DOMAINS) - 1, fields)


def list_vm(
    vm_list: Process, vm_id: str, role: str, number: int, fields: Mapping[str, str]
) -> None:
    vm = {
        "role": role,
        "kind": role,
        "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        "region": REGION,
        "state": "live",
        **fields,
    }
    url = f"http://{vm_list.address}/v1/vms/{vm_id}"
    urllib3.request("PUT", url, json=vm, retries=False)


def _start_daemons(
    stack: ExitStack, folder: Path, number: int, standins: list[Process]
) -> dict[str, Process]:
    daemons_by_id = {}
    for index in range(number):
        daemon_id = f"entry-{'abcdefghi'[index]}"
        settings_file = folder / f"{daemon_id}.json"
        settings_file.write_text(json.dumps(_settings(daemon_id, index, standins)))
        daemons_by_id[daemon_id] = _start(
            stack, folder, daemon_id, "serve", "--settings", str(settings_file)
        )
    for daemon in daemons_by_id.values():
        daemon.wait_until_ready()
    return daemons_by_id


def _settings(daemon_id: str, index: int, standins: list[Process]) -> dict:
    key_value, vm_list, weights = standins[:3]
    return {
        "daemon_id": daemon_id,
        "failure_domain": FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
        "region": REGION,
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "key_value": [f"http://{key_value.address}"],
        "vm_list": f"http://{vm_list.address}",
        "weight_store": f"http://{weights.address}",
        "peer_secret": PEER_SECRET,
        "operator_keys": [digest(OPERATOR_KEY)],
        "threads": 16,
        "seed": index,
    }


def _wait_until_serving(fleet: Fleet) -> None:
    for daemon in fleet.daemons:
        wait_for(lambda d=daemon: _serves_entries(d, len(fleet.daemons)), daemon.name)


def _serves_entries(daemon: Process, number: int) -> bool:
    base = f"http://{daemon.address}"
    if urllib3.request("GET", f"{base}/readyz", retries=False).status != 200:
        return False
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    answer = urllib3.request(
        "GET", f"{base}/v1/entries", headers=headers, retries=False
    )
    return len(answer.json()["entries"]) == min(number, ENTRIES)
