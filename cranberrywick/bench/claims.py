"""Measure what a claim costs: bytes stored, processor time and calls to the store.

Run ``python -m cranberrywick.bench.claims``. The store is a stand-in in the same
process, so the figures cover the daemon's own work and no network.
"""

import secrets
import threading
import time

from cranberrywick.claims.outcomes import Claimed, RecordedResult
from cranberrywick.claims.store import ClaimStore
from cranberrywick.standin.kv import InProcessKeyValueStore, KeyValueStandIn

__all__ = ["main"]

# Numbers of claims that the bucket already holds, one row of the table for each.
KEPT_CLAIMS = (0, 100, 1_000, 3_000)
# An answer of the size of a booking's, which is kept with the claim.
RESULT = RecordedResult(200, "application/json", b"x" * 300)
REPEATS = 30
# All claims go into one bucket (one value of the store), so that the time is that of a
# bucket with the number of claims in the row.
BUCKETS = 1
# Numbers of concurrent callers, one row of the table for each.
CALLERS = (1, 8, 64)
CALLS_EACH = 4
# Added delay of a write, in seconds: a real store takes some milliseconds, the stand-in
# next to nothing.
WRITE_SECONDS = 0.005


def main() -> None:
    """Print the tables."""
    print("claims kept  bytes a claim  with answer  ms of processor a claim")
    for kept in KEPT_CLAIMS:
        print(_row(kept))
    print()
    print("callers at once  calls  writes  writes a call")
    for callers in CALLERS:
        print(_write_row(callers))


def _claim(claims: ClaimStore) -> Claimed:
    key, request_id = secrets.token_hex(8), secrets.token_hex(16)
    return claims.claim("kask", key, secrets.token_hex(32), request_id, 30.0)


def _row(kept: int) -> str:
    standin = KeyValueStandIn()
    claims = ClaimStore(InProcessKeyValueStore(standin), buckets=BUCKETS)
    held = [_claim(claims).claim for _ in range(kept)]
    open_bytes = _value_bytes(standin) / max(kept, 1)
    for claim in held:
        claims.record(claim, RESULT)
    while claims.backlog:
        claims.flush()
    done_bytes = _value_bytes(standin) / max(kept, 1)
    started = time.process_time()
    for _ in range(REPEATS):
        _claim(claims)
    spent = (time.process_time() - started) / REPEATS * 1000
    return f"{kept:>11}  {open_bytes:>13.0f}  {done_bytes:>11.0f}  {spent:>23.2f}"


def _value_bytes(standin: KeyValueStandIn) -> int:
    entries = InProcessKeyValueStore(standin).list("claims/").entries
    return sum(len(entry.value) for entry in entries)


def _write_row(callers: int) -> str:
    standin = KeyValueStandIn()
    claims = ClaimStore(InProcessKeyValueStore(standin))
    _claim(claims)
    claims.start()
    standin.faults.set("slow", seconds=WRITE_SECONDS, path="/v1/keys/claims")
    before = _writes(standin)

    def call() -> None:
        for _ in range(CALLS_EACH):
            claims.record(_claim(claims).claim, RESULT)

    threads = [threading.Thread(target=call) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    claims.stop()
    calls = callers * CALLS_EACH
    writes = _writes(standin) - before
    return f"{callers:>15}  {calls:>5}  {writes:>6}  {writes / calls:>13.2f}"


def _writes(standin: KeyValueStandIn) -> int:
    return standin.counts_by_kind.get("write", 0)


if __name__ == "__main__":
    main()
