"""A daemon gets SIGTERM while requests wait for a place at a busy runner.

The clients sent them before the SIGTERM and would wait until their deadlines; whether
the daemon serves them, or refuses them so that they can go elsewhere, is its decision.
"""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from fleet import BOUNDS, HOST, KEY, TENANT, ZONES, Fleet, Record, send  # noqa: E402
from http1 import Answer  # noqa: E402
from platform_standins import ENGINE, Runner  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_SECONDS = BOUNDS["graceS"]
LOSS_SLACK_SECONDS = BOUNDS["lossSlackMs"] / 1000
# The dossier that occupies the engine is read in 8.9 s; one more fits into the memory
# only when it has ended, and is read in 0.6 s then, long before its deadline.
LONG_TOKENS = "280000,1000"
WAITING_TOKENS = "60000,1000"
WAITING = 4
DEADLINE_MS = 15000

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-fi6y7z5",
            "host": HOST,
            "prefix": "/lohu930/",
            "kind": "streaming",
            "timeoutMs": DEADLINE_MS,
            "targetLatencyMs": 3000,
            "priority": 1,
            "service": "huvo11a",
            "maxAttempts": 2,
            "public": False,
            "stickySessions": True,
            "streamResume": True,
            "gapAimMs": 1000,
        }
    ],
    "services": [
        {
            "name": "huvo11a",
            "healthPath": "/health",
            "maxConnections": 334,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 3.0,
            "coldPerS": 38.0,
            "engine": ENGINE,
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
}


async def run(folder: Path, record: Record) -> int:
    """Play the case and return the exit code."""
    fleet = Fleet(folder, record)
    try:
        fleet.store.put("op/config", CONFIGURATION)
        runner = Runner("i-7f3a91c2", "huvo11a", ZONES[0], record)
        await runner.start(fleet.new_ip())
        fleet.store.put(f"servers/{runner.name}", runner.record())
        for zone in ZONES:
            await fleet.add_daemon(f"front-{zone}-1", zone)
        await fleet.start_all()
        return await _play(fleet, runner)
    except TimeoutError as error:
        record(f"could not run: {error}")
        return 2
    finally:
        fleet.close()


async def _play(fleet: Fleet, runner: Runner) -> int:
    daemon = fleet.daemons[0]
    loop = asyncio.get_running_loop()

    def prompt(request_id: str, tokens: str) -> asyncio.Task[Answer]:
        target = f"/lohu930/{request_id}"
        body = b"x" * 11000
        return loop.create_task(
            send(fleet, daemon, request_id, "POST", target, DEADLINE_MS, tokens, body)
        )

    long_one = prompt("10ca5e00", LONG_TOKENS)
    await asyncio.sleep(0.5)
    waiting = [prompt(f"3a1700{n:02x}", WAITING_TOKENS) for n in range(WAITING)]
    await asyncio.sleep(1.0)
    stopped_at = None
    if TROUBLE:
        stopped_at = fleet.signal(daemon, signal.SIGTERM)
        if not await fleet.wait_exit(daemon, GRACE_SECONDS):
            fleet.signal(daemon, signal.SIGKILL)
            await fleet.wait_exit(daemon, 1.0)
    answers = [await each for each in waiting]
    await long_one
    return _judge(fleet, runner, answers, stopped_at)


def _judge(
    fleet: Fleet, runner: Runner, answers: list[Answer], stopped_at: float | None
) -> int:
    """Return 1 if LOST was broken, 0 if it held, 2 if the case didn't come about.

    The excuses of the rule need a run at a runner, a deadline that is reached or a
    runner that broke off; a request that never reached a runner has none of them.
    """
    lost = 0
    for answer in answers:
        held = answer.ended_at - answer.sent_at
        has_arrived = answer.request_id in runner.arrivals
        in_time = held < DEADLINE_MS / 1000 - 0.5
        near_stop = (
            stopped_at is not None and answer.ended_at <= stopped_at + GRACE_SECONDS + 1
        )
        is_cut = answer.end in ("closed", "reset") and answer.status == 0
        if is_cut and near_stop and in_time and not has_arrived:
            if held > LOSS_SLACK_SECONDS:
                lost += 1
                fleet.record(
                    f"LOST: {answer.request_id}, sent {stopped_at - answer.sent_at:.1f}"
                    f" s before SIGTERM, ends '{answer.end}' without an answer"
                    f" {held:.1f} s after its last byte; it has reached no runner"
                )
    if not TROUBLE:
        served = sum(a.end == "complete" and a.status == 200 for a in answers)
        fleet.record(f"without SIGTERM: {served} of {len(answers)} served")
        return 0 if served == len(answers) and not lost else 2
    fleet.record(f"{lost} of {len(answers)} requests lost")
    return 1 if lost else 0


def main() -> int:
    """Run the case in a temporary folder."""
    record = Record(FOLDER / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(Path(folder), record))


if __name__ == "__main__":
    sys.exit(main())
