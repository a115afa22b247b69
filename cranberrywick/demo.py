"""A demonstration: a small fleet of three daemons and all stand-ins in one process.

``make run`` starts it. One short prompt, one very long prompt and one booking are
served by the entry that a daemon names in its answer to ``GET /v1/entries``.
"""

import json
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from hashlib import sha256
from typing import NamedTuple
from uuid import uuid4

import urllib3

from cranberrywick.configuration.settings import DaemonSettings
from cranberrywick.daemon import Daemon
from cranberrywick.errors import AnswerLost
from cranberrywick.standin.engine import start as start_engine
from cranberrywick.standin.engine_core import EngineSettings
from cranberrywick.standin.kv import start_key_value
from cranberrywick.standin.server import RunningStandIn
from cranberrywick.standin.service import start as start_service
from cranberrywick.standin.vms import start_vm_list
from cranberrywick.standin.weights import start_weight_store

__all__ = ["DEMO_KEY", "DEMO_OPERATOR_KEY", "Fleet", "demo_configuration", "run_demo"]

DEMO_KEY = "demo-caller-key"
DEMO_OPERATOR_KEY = "demo-operator-key"
DEMO_MODEL = "drafter"
FAILURE_DOMAINS = ("tallinn-a", "tallinn-b", "tallinn-c")
REGION = "tallinn"
# Longest wait until every daemon is ready, in seconds.
READY_SECONDS = 30.0
# Time-out of connecting and of each read of an answer, in seconds.
ANSWER_SECONDS = 300.0
LONG_PROMPT_TOKENS = 400_000


def demo_configuration() -> dict:
    """Return the operators' configuration document for the demonstration.

    It states targets and the endpoints' nominal capacities, no routing parameters.
    """
    return {
        "organisations": {
            "kask": {"key_sha256": [sha256(DEMO_KEY.encode()).hexdigest()]}
        },
        "classes": {
            "summary": _targets(1.7, 30.0),
            "review": _targets(60.0, 300.0),
            "booking": _targets(1.7, 10.0),
        },
        "models": {
            DEMO_MODEL: {
                "context_tokens": 1_000_000,
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
                "models": [DEMO_MODEL],
                "checks_fencing": True,
                "slots": 8,
                "cold_slots": 1,
                "prefill_tokens_per_second": 200_000,
                "decode_tokens_per_second": 50,
                "cache_tokens": 600_000,
            },
            "notices": {
                "type": "service",
                "service": "booking",
                "checks_fencing": False,
                "slots": 8,
            },
        },
        "failure_domains_out": [],
    }


def _targets(first_token_seconds: float, completion_seconds: float) -> dict:
    return {
        "first_token_seconds": first_token_seconds,
        "completion_seconds": completion_seconds,
        "between_tokens_seconds": 0.061,
        "attainment": 0.95,
    }


class Fleet(NamedTuple):
    """The running stand-ins and daemons of the demonstration."""

    key_value: RunningStandIn
    vm_list: RunningStandIn
    engines: tuple[RunningStandIn, ...]
    services: tuple[RunningStandIn, ...]
    daemons: tuple[Daemon, ...]


@contextmanager
def running_fleet(write_line: Callable[[str], None]) -> Iterator[Fleet]:
    """Run stand-ins and daemons, on ports that the system chooses, for a block."""
    with ExitStack() as stack:
        key_value = _stop_at_exit(stack, start_key_value())
        vm_list = _stop_at_exit(stack, start_vm_list([]))
        weights = _stop_at_exit(stack, start_weight_store())
        settings = EngineSettings(
            models=(DEMO_MODEL,), prefill_tokens_per_second=200_000.0
        )
        engines = tuple(_stop_at_exit(stack, start_engine(settings)) for _ in range(2))
        services = (_stop_at_exit(stack, start_service()),)
        write_line(
            "stand-ins: key-value service, VM list, weight store, 2 engines, 1 service"
        )
        _store_configuration(key_value)
        _list_endpoints(vm_list, engines, services)
        daemons = tuple(
            _start_daemon(stack, number, key_value, vm_list, weights)
            for number in range(len(FAILURE_DOMAINS))
        )
        _wait_until_ready(daemons)
        write_line("daemons: " + ", ".join(daemon.address for daemon in daemons))
        yield Fleet(key_value, vm_list, engines, services, daemons)


def _stop_at_exit(stack: ExitStack, standin: RunningStandIn) -> RunningStandIn:
    stack.callback(standin.stop)
    return standin


def _store_configuration(key_value: RunningStandIn) -> None:
    value = {"change_id": "demo", "version": 1, "document": demo_configuration()}
    urllib3.request(
        "PUT",
        f"{key_value.url}/v1/keys/config%2Fcurrent",
        json={"value": json.dumps(value)},
        retries=False,
    )


def _list_endpoints(
    vm_list: RunningStandIn,
    engines: tuple[RunningStandIn, ...],
    services: tuple[RunningStandIn, ...],
) -> None:
    kinds = [("drafting", engine) for engine in engines]
    kinds += [("notices", service) for service in services]
    for number, (kind, standin) in enumerate(kinds):
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        vm_list.standin.put(
            f"{kind}-{number}",
            {
                "role": "endpoint",
                "kind": kind,
                "address": standin.address,
                "failure_domain": domain,
                "region": REGION,
                "state": "live",
            },
        )


def _start_daemon(
    stack: ExitStack,
    number: int,
    key_value: RunningStandIn,
    vm_list: RunningStandIn,
    weights: RunningStandIn,
) -> Daemon:
    domain = FAILURE_DOMAINS[number]
    settings = DaemonSettings(
        daemon_id=f"entry-{number}",
        failure_domain=domain,
        region=REGION,
        listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        key_value=(key_value.url,),
        vm_list=vm_list.url,
        weight_store=weights.url,
        peer_secret="demonstration-secret",
        operator_keys=(sha256(DEMO_OPERATOR_KEY.encode()).hexdigest(),),
        threads=32,
        seed=number,
    )
    daemon = Daemon(settings)
    daemon.start()
    stack.callback(daemon.stop)
    vm_list.standin.put(
        settings.daemon_id,
        {
            "role": "entry",
            "address": daemon.address,
            "peer_address": daemon.peer_address,
            "failure_domain": domain,
            "region": REGION,
            "state": "live",
        },
    )
    return daemon


def _wait_until_ready(daemons: tuple[Daemon, ...]) -> None:
    deadline = time.monotonic() + READY_SECONDS
    for daemon in daemons:
        url = f"http://{daemon.address}/readyz"
        while urllib3.request("GET", url, retries=False).status != 200:
            if time.monotonic() > deadline:
                raise AnswerLost(f"{daemon.address} did not become ready")
            time.sleep(0.05)


def run_demo(write_line: Callable[[str], None]) -> None:
    """Start the fleet, make three requests to it, and stop it.

    Each line of the report is passed to ``write_line``. Raises `AnswerLost` if a daemon
    does not become ready or a request fails.
    """
    with running_fleet(write_line) as fleet:
        entry = _fetch_entry(fleet.daemons[0].address)
        write_line(f"caller was told to use {entry}")
        write_line(
            "short prompt: "
            + _request_completion(entry, "summary", "Grants for barns?")
        )
        long_text = "rule " * (LONG_PROMPT_TOKENS * 4 // 5)
        write_line("long prompt: " + _request_completion(entry, "review", long_text))
        write_line("booking: " + _request_booking(entry))


def _fetch_entry(address: str) -> str:
    answer = urllib3.request(
        "GET", f"http://{address}/v1/entries", headers=_headers(), retries=False
    )
    entries = answer.json()["entries"]
    return entries[0]["address"] if entries else address


def _headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {DEMO_KEY}", "Content-Type": "application/json"}


def _request_completion(entry: str, class_name: str, text: str) -> str:
    body = {
        "model": f"{DEMO_MODEL}:{class_name}",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 12,
        "stream": True,
    }
    started = time.monotonic()
    response = urllib3.request(
        "POST",
        f"http://{entry}/v1/chat/completions",
        body=json.dumps(body),
        headers=_headers(),
        preload_content=False,
        retries=False,
        timeout=ANSWER_SECONDS,
    )
    first_token_seconds = None
    received = b""
    while chunk := response.read1(65_536):
        first_token_seconds = first_token_seconds or time.monotonic() - started
        received += chunk
    if response.status != 200 or not received.endswith(b"data: [DONE]\n\n"):
        raise AnswerLost(received.decode(errors="replace"))
    return (
        f"{len(text) // 4} prompt tokens, first token after "
        f"{first_token_seconds:.2f} s, whole answer after "
        f"{time.monotonic() - started:.2f} s"
    )


def _request_booking(entry: str) -> str:
    response = urllib3.request(
        "POST",
        f"http://{entry}/v1/services/booking/slots",
        body=json.dumps({"tube": 7}),
        headers={**_headers(), "Idempotency-Key": uuid4().hex},
        retries=False,
        timeout=ANSWER_SECONDS,
    )
    if response.status != 200:
        raise AnswerLost(response.data.decode(errors="replace"))
    return response.data.decode().strip()
