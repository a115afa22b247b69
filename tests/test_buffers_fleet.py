"""A real gateway process with slow callers and slow endpoints beside quick ones."""

import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from gateway_fleet import (
    PROMPT_HEADERS,
    Fleet,
    configuration,
    read_answer,
    request_bytes,
    running_gateways,
    wait_for,
)

from cranberrywick.routing.buffer_budget import CHECK_SHARE, BufferLimits

# The smallest VM of the deployments.
MEMORY_BYTES = 200_000_000
BUDGET = BufferLimits.of_memory(MEMORY_BYTES).budget
SLOW_CALLERS = 24
SLOW_ANSWER_BYTES = 4_000_000
# Eight events are within the bound of one stream.
SLOW_EVENT_BYTES = 25_000
QUICK_CALLS = 120
# Receive buffer of slow callers, in bytes.
SMALL_BUFFER = 4096
# Longer than an endpoint waits for a reader, and than the kernel's usual bound for a
# caller without room.
PAUSE_SECONDS = 4.0


class SmallVmFleet(Fleet):
    """A fleet whose gateways run on VMs with little memory, with slow callers."""

    settings = {
        "contracts": ["pressure"],
        "limits": {"memoryMb": MEMORY_BYTES / 1e6},
    }


@contextmanager
def running_small_vm(path):
    """Run one gateway and check at the end that it still runs and holds nothing."""
    with running_gateways(path, fleet_type=SmallVmFleet) as fleet:
        limits = {**configuration()["limits"], "maxBodyBytes": 4_000_000}
        fleet.configure(configuration(version=2, limits=limits))
        (gateway,) = fleet.gateways
        wait_for(lambda: "version=2" in gateway.log, "the limit of bodies")
        assert gateway.held_bytes == 0
        yield fleet
        assert gateway.process.poll() is None
        assert peak_bytes(gateway) < MEMORY_BYTES
        wait_for(lambda: gateway.held_bytes == 0, "nothing to be held")


def peak_bytes(gateway):
    with open(f"/proc/{gateway.process.pid}/status") as status:
        (line,) = [each for each in status if each.startswith("VmHWM")]
    return int(line.split()[1]) * 1024


def send_without_reading(fleet, target, headers, body=b""):
    connection = fleet.connect(fleet.gateways[0], SMALL_BUFFER)
    request_id = fleet.new_id()
    headers = {"Cranberrywick-Deadline-Ms": "15000", **headers}
    connection.sendall(request_bytes("POST", target, body, headers, request_id))
    return connection


def quick_answers(fleet, *requests):
    """Make calls, four at a time, the given requests in turn; return the answers."""

    def call(number):
        target, headers = requests[number % len(requests)]
        return fleet.call(fleet.gateways[0], "POST", target, b"quick", headers)

    with ThreadPoolExecutor(4) as pool:
        return list(pool.map(call, range(QUICK_CALLS)))


def test_quick_callers_are_served_beside_callers_that_stop_reading(tmp_path):
    """Guards against a daemon killed for its memory, and quick callers that suffer.

    Slow callers ask for more than the budget and read nothing.
    """
    with running_small_vm(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        whole = {"X-Padding": str(SLOW_ANSWER_BYTES)}
        stream = {**PROMPT_HEADERS, "X-Padding": str(SLOW_EVENT_BYTES)}
        slow = []
        for _ in range(SLOW_CALLERS):
            slow.append(send_without_reading(fleet, "/books/1", whole))
            slow.append(send_without_reading(fleet, "/prompts/1", stream))
        answers = []
        while not answers or "event=caller_cut_for_memory" not in gateway.log:
            answers += quick_answers(
                fleet,
                ("/reads/1", {}),
                ("/books/1", {}),
                ("/prompts/1", PROMPT_HEADERS),
            )
            assert gateway.held_bytes <= BUDGET * (1 + CHECK_SHARE)
            assert len(answers) < 10 * QUICK_CALLS
        assert {(answer.status, answer.whole) for answer in answers} == {(200, True)}
        assert "memory_cuts_total" in gateway.metrics
        for connection in slow:
            connection.close()


def test_a_stream_goes_on_after_its_caller_has_paused(tmp_path):
    """Guards against streams cut off by the endpoint, or by the kernel, in a pause."""
    with running_small_vm(tmp_path) as fleet:
        for engine in ("engine-1", "engine-2"):
            fleet.endpoints[engine].unread_seconds = 1.0
        headers = {**PROMPT_HEADERS, "X-Padding": "20000"}
        connection = send_without_reading(fleet, "/prompts/1", headers)
        time.sleep(PAUSE_SECONDS)
        answer = read_answer(connection)
        connection.close()
        assert answer.status == 200 and answer.whole
        assert answer.body.count(b"data: piece") == 8
        assert not any(each.cut_off for each in fleet.endpoints.values())


def test_endpoints_that_read_slowly_take_no_capacity_from_quick_ones(tmp_path):
    """Guards against bodies for slow endpoints that fill the memory.

    Above the limit bodies are refused, and the requests have not run.
    """
    with running_small_vm(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        for desk in ("desk-1", "desk-2"):
            fleet.endpoints[desk].read_pause_seconds = 0.3
        headers = {"Cranberrywick-Deadline-Ms": "4000"}

        def send_large(number):
            request_id = fleet.new_id()
            body = bytes(3_000_000)
            answer = fleet.call(gateway, "POST", "/books/1", body, headers, request_id)
            return request_id, answer

        with ThreadPoolExecutor(30) as pool:
            large = [pool.submit(send_large, number) for number in range(30)]
            wait_for(lambda: gateway.held_bytes > BUDGET / 2, "bodies to be held")
            answers = quick_answers(fleet, ("/prompts/1", PROMPT_HEADERS))
            assert {(answer.status, answer.whole) for answer in answers} == {
                (200, True)
            }
            outcomes = [each.result() for each in large]
        refused = [each for each in outcomes if each[1].status == 503]
        assert refused and "event=body_refused_for_memory" in gateway.log
        for request_id, answer in refused:
            assert "retry-after" in answer.headers and not fleet.runs(request_id)


def test_a_caller_that_leaves_gives_its_bytes_back(tmp_path):
    """Guards against bytes that stay counted, until every request is refused."""
    with running_small_vm(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        headers = {"X-Padding": str(SLOW_ANSWER_BYTES)}
        for _ in range(3):
            connection = send_without_reading(fleet, "/books/1", headers, bytes(1000))
            wait_for(lambda: gateway.held_bytes > 1_000_000, "the answer to be held")
            connection.close()
            wait_for(lambda: gateway.held_bytes == 0, "the bytes to be given back")
