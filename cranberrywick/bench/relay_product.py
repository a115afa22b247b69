"""The whole daemon as the relay of the benchmark, with a stand-in platform."""

import json
import threading
from hashlib import sha256

import urllib3

from cranberrywick.bench.relay_caller import CALLER_KEY, MODEL
from cranberrywick.configuration.settings import DaemonSettings
from cranberrywick.daemon import Daemon
from cranberrywick.standin.kv import start_key_value
from cranberrywick.standin.server import RunningStandIn
from cranberrywick.standin.vms import start_vm_list
from cranberrywick.standin.weights import start_weight_store

__all__ = ["serve_daemon"]

# Declared slots of the source. The source serves any number of streams, and with this
# value the daemon does not queue a stream for lack of slots.
SOURCE_SLOTS = 4000
THREADS = 1050
# Time from readiness to the start of the measurement, in seconds.
SETTLE_SECONDS = 5.0


def serve_daemon(source: str) -> None:
    """Serve a daemon whose only engine is the source, until the process ends.

    The stand-ins of the platform are in the same process. One daemon calls them a few
    times a second, so that they add little to its cost.
    """
    key_value = start_key_value()
    _store_configuration(key_value)
    engine = {
        "role": "endpoint",
        "kind": "source",
        "address": source,
        "failure_domain": "a",
        "region": "here",
        "state": "live",
    }
    vm_list = start_vm_list([])
    vm_list.standin.put("source-1", engine)
    settings = DaemonSettings(
        daemon_id="entry-1",
        failure_domain="a",
        region="here",
        listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        key_value=(key_value.url,),
        vm_list=vm_list.url,
        weight_store=start_weight_store().url,
        peer_secret="benchmark-secret",
        operator_keys=(),
        threads=THREADS,
        log_level="error",
    )
    daemon = Daemon(settings)
    daemon.start()
    while urllib3.request("GET", f"http://{daemon.address}/readyz").status != 200:
        threading.Event().wait(0.1)
    # A daemon is ready before its first load report, and until that report sends an
    # endpoint only as much as a cold one can run. That phase is not to be measured.
    threading.Event().wait(SETTLE_SECONDS)
    print(f"ready {daemon.address}", flush=True)
    threading.Event().wait()


def _store_configuration(key_value: RunningStandIn) -> None:
    targets = {
        "first_token_seconds": 5.0,
        "completion_seconds": 600.0,
        "between_tokens_seconds": 0.061,
        "attainment": 0.95,
    }
    document = {
        "organisations": {"bench": {"key_sha256": [_digest(CALLER_KEY)]}},
        "classes": {"short": targets},
        "models": {
            MODEL: {
                "context_tokens": 1_000_000,
                "class": "short",
                "versions": ["1"],
                "adapters": [],
            }
        },
        "services": {},
        "endpoint_kinds": {
            "source": {
                "type": "engine",
                "models": [MODEL],
                "checks_fencing": False,
                "slots": SOURCE_SLOTS,
                "cold_slots": SOURCE_SLOTS,
                "prefill_tokens_per_second": 1e9,
                "decode_tokens_per_second": 1e6,
                "cache_tokens": 10**9,
            }
        },
        "failure_domains_out": [],
    }
    value = {"change_id": "bench", "version": 1, "document": document}
    url = f"{key_value.url}/v1/keys/config%2Fcurrent"
    body = {"value": json.dumps(value)}
    urllib3.request("PUT", url, json=body, retries=False)


def _digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()
