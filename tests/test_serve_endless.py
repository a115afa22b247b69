"""A daemon of ``serve`` before endpoints whose answers never end.

Guards against threads that wait for such answers until the deadline, and against bytes
of them that are kept.
"""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from endless_endpoints import EndlessEndpoint
from fleet import CALLER_KEY, list_vm, running_fleet
from test_endless_answers import memory_bytes
from test_must_hold import BOOKING_PATH

from cranberrywick.endpoints.exchange import COMPLETIONS_PATH

CALLS, CALLERS = 48, 12
# The daemon knows the endpoints by then, in seconds.
KNOWN_SECONDS = 3.0
MAX_GROWTH_BYTES = 60e6
# Requests have a minute; one that is given up earlier is an error of the endpoint's.
MAX_SECONDS = 20.0
PROMPT = {
    "model": "drafter",
    "messages": [{"role": "user", "content": "What is due?"}],
    "max_tokens": 5,
}


class PartlyEndless(EndlessEndpoint):
    """Answers probes as the endpoint at ``sound_address`` does."""

    def __init__(self, form, sound_address):
        self.sound_address = sound_address
        super().__init__(form)

    def first_answer(self, request):
        if request.target in ("/slots", COMPLETIONS_PATH):
            return None
        url = f"http://{self.sound_address}{request.target}"
        answer = urllib3.request("GET", url, retries=False)
        head = f"HTTP/1.1 {answer.status} OK\r\nContent-Length: {len(answer.data)}\r\n"
        return head.encode() + b"Connection: close\r\n\r\n" + answer.data


def call(daemon, number):
    """Make a call or send a prompt; return its status and how long it took."""
    began = time.monotonic()
    prompts = PROMPT | {"stream": number % 4 == 0}
    path, body = (
        (BOOKING_PATH, {"tube": 7}) if number % 2 else (COMPLETIONS_PATH, prompts)
    )
    headers = {
        "Authorization": f"Bearer {CALLER_KEY}",
        "Idempotency-Key": f"key-{number}",
    }
    answer = urllib3.request(
        "POST",
        f"http://{daemon.address}{path}",
        body=json.dumps(body).encode(),
        headers=headers,
        retries=False,
        timeout=70.0,
    )
    return answer.status, time.monotonic() - began


@pytest.mark.parametrize(
    "form", ["chunked", "interim", "one_event", "failing_unframed"]
)
def test_an_endless_answer_costs_a_daemon_neither_memory_nor_time(tmp_path, form):
    """Guards against threads that read an endless answer until the deadline."""
    with running_fleet(tmp_path, daemons=1) as fleet:
        (daemon,) = fleet.daemons
        before = memory_bytes(daemon.pid)
        endless = []
        for number, (kind, sound) in enumerate(
            [("slots", fleet.services[0]), ("drafting", fleet.engines[0])] * 2
        ):
            endpoint = PartlyEndless(form, sound.address)
            endless.append(endpoint)
            fields = {"kind": kind, "address": endpoint.address}
            list_vm(fleet.vm_list, f"endless-{number}", "endpoint", number, fields)
        time.sleep(KNOWN_SECONDS)
        with ThreadPoolExecutor(CALLERS) as pool:
            outcomes = list(pool.map(lambda n: call(daemon, n), range(CALLS)))
        assert sum(each.endless_runs for each in endless) > 0
        assert memory_bytes(daemon.pid) - before < MAX_GROWTH_BYTES
        assert max(seconds for _, seconds in outcomes) < MAX_SECONDS
        failed = sum(status != 200 for status, _ in outcomes)
        # Only those fail that an endless endpoint may have run.
        assert failed <= sum(each.endless_runs for each in endless)
