"""What a daemon's own reads cost beside the peers' messages: VM list, load reports.

Only the reading thread's processor time is counted; the stand-ins run beside it on
threads of their own.
"""

import json
import time
from collections.abc import Callable

from cranberrywick.bench.capacity_worker import make_endpoints
from cranberrywick.endpoints.load import fetch_load
from cranberrywick.external.vms import VmList
from cranberrywick.standin import engine
from cranberrywick.standin.vms import start_vm_list

__all__ = ["print_reads"]

READS = 100


def print_reads(daemons: int, endpoints: int, regions: int, echo: Callable) -> None:
    """Print bytes and processor time of one read of each."""
    vms = _vms(daemons, endpoints, regions)
    size = len(json.dumps({"revision": 1, "vms": vms}))
    running = start_vm_list(vms=vms)
    try:
        seconds = _seconds_each(VmList(running.url).read)
    finally:
        running.stop()
    echo(f"VM list of {len(vms)}: {size} bytes, {1000 * seconds:.2f} ms a read")
    running = engine.start()
    try:
        endpoint = make_endpoints(1, 1)["runner-000"]
        endpoint = endpoint._replace(address=running.address)
        seconds = _seconds_each(lambda: fetch_load(endpoint, time.monotonic))
    finally:
        running.stop()
    echo(f"load report: {1000 * seconds:.2f} ms a read")


def _vms(daemons: int, endpoints: int, regions: int) -> list[dict]:
    entries = [
        {
            "id": f"entry-{i:03}",
            "role": "entry",
            "kind": "entry",
            "address": f"10.0.{i // 250}.{i % 250}:8080",
            "peer_address": f"10.0.{i // 250}.{i % 250}:7000",
            "failure_domain": f"fd-{i % 10}",
            "region": f"region-{i % regions}",
            "state": "live",
        }
        for i in range(daemons)
    ]
    runners = [
        {
            "id": endpoint.endpoint_id,
            "role": "endpoint",
            "kind": "large",
            "address": endpoint.address,
            "failure_domain": endpoint.failure_domain,
            "region": endpoint.region,
            "state": "live",
        }
        for endpoint in make_endpoints(endpoints, regions).values()
    ]
    return entries + runners


def _seconds_each(read: Callable[[], object]) -> float:
    read()
    before = time.thread_time()
    for _ in range(READS):
        read()
    return (time.thread_time() - before) / READS
