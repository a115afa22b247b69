"""``cranberrywick gateway-demo``: two gateways and stand-ins in one process."""

import asyncio
import json
import socket

import click

from cranberrywick.gateway.app import Gateway
from cranberrywick.gateway.upstream import EndpointConnection
from cranberrywick.logs import EventLog, set_up_logs
from cranberrywick.platform.settings import decode_settings
from cranberrywick.standin.platform.endpoint import EndpointStandIn
from cranberrywick.standin.platform.store import StoreStandIn

__all__ = ["gateway_demo"]

HOST = "shop.example"
KEY = "a-key"
# Longest wait for a connection to a gateway, in seconds.
START_SECONDS = 2.0
ENGINE = {
    "slots": 8,
    "kvCapacity": 300_000,
    "stride": 51,
    "step_ms": 0.85,
    "per_seq_ms": 0.0085,
    "context_per_k": 0.00285,
    "read_per_s": 177_000.0,
    "pairs_per_m": 0.184,
    "chunk": 2048,
    "usual": {"prompt": 11_000},
}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "host": HOST,
            "prefix": "/slots/",
            "kind": "unsafe",
            "timeoutMs": 1500,
            "service": "desk",
        },
        {
            "host": HOST,
            "prefix": "/prompts/",
            "kind": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 3000,
            "gapAimMs": 1000,
            "service": "pool",
            "maxAttempts": 2,
            "streamResume": True,
        },
    ],
    "services": [{"name": "desk"}, {"name": "pool", "engine": ENGINE}],
    "tenants": [{"name": "kask", "apiKeys": [KEY]}],
}


@click.command(name="gateway-demo")
def gateway_demo() -> None:
    """Serve a booking, a short and a long prompt through two gateways, and end."""
    set_up_logs("error")
    asyncio.run(_run())


async def _run() -> None:
    store = StoreStandIn()
    await store.start()
    store.put_json("op/config", CONFIGURATION)
    for endpoint_id in ("desk-1", "desk-2", "engine-1", "engine-2"):
        await _register(store, endpoint_id)
    ports = _free_ports(5)
    gateways = [
        await _start(store, f"gateway-{n}", f"127.0.0.{n + 1}", ports) for n in (1, 2)
    ]
    while not all(gateway.state.ready for gateway in gateways):
        await asyncio.sleep(0.01)
    click.echo("stand-ins: store, 2 plain services, 2 engines; 2 gateways are ready")
    entry = f"127.0.0.2:{ports[0]}"
    await _send_and_print(entry, "booking", "/slots/1", None)
    await _send_and_print(entry, "short prompt", "/prompts/1", "4000,400")
    await _send_and_print(
        entry, "prompt above one engine's memory", "/prompts/2", "400000,400"
    )


async def _register(store: StoreStandIn, endpoint_id: str) -> None:
    endpoint = EndpointStandIn(endpoint_id)
    record = {
        "service": "desk" if endpoint_id.startswith("desk") else "pool",
        "address": await endpoint.start(),
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
    }
    store.put_json(f"servers/{endpoint_id}", record)


async def _start(store: StoreStandIn, name: str, ip: str, ports: list[int]) -> Gateway:
    front, ready, directory, low, high = ports
    settings = decode_settings(
        {
            "nodeName": name,
            "ip": ip,
            "zone": "a",
            "region": "r",
            "listen": {
                "front": f"{ip}:{front}",
                "ready": f"{ip}:{ready}",
                "directory": f"{ip}:{directory}",
            },
            "internalPorts": [low, high],
            "platform": {"address": await store.add_listener(name)},
        }
    )
    gateway = Gateway(settings, EventLog(daemon=name))
    await gateway.start()
    return gateway


async def _send_and_print(
    entry: str, what: str, target: str, tokens: str | None
) -> None:
    headers = [
        (b"Host", HOST.encode()),
        (b"Authorization", f"Token {KEY}".encode()),
        (b"Cranberrywick-Request-Id", target.encode()),
        (b"Cranberrywick-Deadline-Ms", b"5000"),
    ]
    if tokens:
        headers.append((b"Cranberrywick-Token-Count", tokens.encode()))
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with EndpointConnection(entry) as connection:
        await connection.open(START_SECONDS)
        await connection.send(b"POST", target.encode(), headers, b"{}")
        answer = await connection.read_head()
        body = b"".join([part async for part in connection.body()])
    seal = answer.headers_by_name.get(b"cranberrywick-response-seal", b"").decode()
    seconds = loop.time() - started
    click.echo(
        f"{what}: {answer.status} after {seconds:.2f} s, {seal}, "
        f"{json.dumps(body[:40].decode())}"
    )


def _free_ports(number: int) -> list[int]:
    sockets = [socket.socket() for _ in range(number)]
    try:
        for each in sockets:
            each.bind(("0.0.0.0", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()
