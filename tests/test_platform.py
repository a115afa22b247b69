"""The clients of the platform's services, over HTTP against the stand-ins.

Guards against a write that takes effect twice or is reported wrongly after a fault.
"""

import threading

import pytest

from cranberrywick.errors import NotFound, PlatformUnavailable
from cranberrywick.external.exchange import AmbiguousWrite, RateLimited
from cranberrywick.external.key_value import (
    HttpKeyValueStore,
    LeaseLapsed,
    RevisionConflict,
    open_key_value_store,
)
from cranberrywick.external.vms import VmList, VmState
from cranberrywick.external.weights import WeightStore
from cranberrywick.standin.kv import KeyValueStandIn
from cranberrywick.standin.server import start
from cranberrywick.standin.vms import VmListStandIn
from cranberrywick.standin.weights import WeightStoreStandIn

VM = {
    "id": "engine-1",
    "role": "endpoint",
    "kind": "drafting",
    "address": "127.0.0.1:9001",
    "failure_domain": "tallinn-a",
    "region": "tallinn",
    "state": "live",
}


@pytest.fixture
def serve():
    running = []

    def serve(standin):
        running.append(start(standin))
        return running[-1]

    yield serve
    for server in running:
        server.stop()


@pytest.fixture
def clock():
    class Clock:
        now = 0.0

        def __call__(self):
            return self.now

    return Clock()


@pytest.fixture
def server(serve, clock):
    return serve(KeyValueStandIn(clock))


@pytest.fixture
def store(server):
    return open_key_value_store((server.url,))


def test_keys_are_written_by_compare_and_swap(store):
    assert store.get("a/b c").revision == 0
    first = store.put("a/b c", "one", expected_revision=0)
    with pytest.raises(RevisionConflict) as caught:
        store.put("a/b c", "two", expected_revision=0)
    assert caught.value.current.value == "one"
    assert caught.value.current.revision == first
    store.put("a/b c", "two", expected_revision=first)
    assert store.list("a/").entries[0].value == "two"
    store.delete("a/b c")
    assert store.get("a/b c").value is None


def test_a_watch_ends_with_the_first_change(store):
    before = store.get("k").store_revision
    answers = []
    watcher = threading.Thread(
        target=lambda: answers.append(store.watch("k", before, 30.0))
    )
    watcher.start()
    store.put("k", "new")
    watcher.join(30.0)
    assert [event.value for event in answers[0].events] == ["new"]
    after = answers[0].store_revision
    assert store.watch("k", after, 0.0).events == ()


def test_a_key_is_deleted_when_its_lease_lapses(store, clock):
    lease = store.grant_lease(10.0)
    store.put("held", "x", lease=lease.lease_id)
    clock.now = 9.0
    store.keep_alive(lease.lease_id)
    clock.now = 18.0
    assert store.get("held").value == "x"
    clock.now = 20.0
    assert store.get("held").value is None
    with pytest.raises(LeaseLapsed):
        store.keep_alive(lease.lease_id)
    with pytest.raises(LeaseLapsed):
        store.put("held", "x", lease=lease.lease_id)


@pytest.mark.parametrize(
    ("fault", "read_failure", "write_failure"),
    [
        ("outage", PlatformUnavailable, AmbiguousWrite),
        ("lose_next_request", PlatformUnavailable, AmbiguousWrite),
        ("nonsense", PlatformUnavailable, AmbiguousWrite),
        ("rate_limit", RateLimited, RateLimited),
    ],
)
def test_an_error_says_whether_a_write_may_have_taken_effect(
    store, server, fault, read_failure, write_failure
):
    server.standin.faults.set(fault)
    with pytest.raises(PlatformUnavailable) as caught:
        store.get("k")
    assert type(caught.value) is read_failure
    with pytest.raises(PlatformUnavailable) as caught:
        store.put("k", "v")
    assert type(caught.value) is write_failure
    assert caught.value.retry_after is not None


def test_a_write_whose_answer_is_lost_is_not_retried(store, server):
    """The write takes effect and the connection breaks before the answer.

    A client that retried on its own would write twice, and would hide from the code
    that called it that the first write may have taken effect.
    """
    server.standin.faults.set("drop_next_answer", count=1)
    with pytest.raises(AmbiguousWrite):
        store.put("k", "v")
    assert server.standin.counts_by_kind["write"] == 1
    assert store.get("k").value == "v"


def test_another_address_is_tried_only_without_a_connection(serve):
    """Nothing listens at the first address, so nothing was sent there."""
    dead, live = serve(KeyValueStandIn()), serve(KeyValueStandIn())
    store = HttpKeyValueStore((dead.url, live.url))
    dead.stop()
    assert store.put("k", "v") == 1
    live.standin.faults.set("drop_next_answer", count=1)
    with pytest.raises(AmbiguousWrite):
        store.put("k", "w")
    live.stop()
    with pytest.raises(PlatformUnavailable) as caught:
        store.put("k", "x")
    assert type(caught.value) is PlatformUnavailable


def test_the_vm_list_lags_and_leaves_out_malformed_vms(serve):
    standin = VmListStandIn([VM, {"id": "broken"}, "nothing"[:0] or {"id": "x"}])
    vms = VmList(serve(standin).url)
    assert list(vms.read().vms_by_id) == ["engine-1"]
    standin.freeze()
    standin.put("engine-1", {"state": "leaving"})
    assert vms.read().vms_by_id["engine-1"].state is VmState.LIVE
    standin.faults.clear("lag")
    assert vms.read().vms_by_id["engine-1"].state is VmState.LEAVING
    standin.faults.set("nonsense")
    with pytest.raises(PlatformUnavailable):
        vms.read()


def test_the_weight_store_limits_its_rate(serve, clock):
    standin = WeightStoreStandIn(reads_per_second=1.0, burst=1.0, clock=clock)
    weights = WeightStore(serve(standin).url)
    assert weights.look_up("drafter", "2").size_bytes > 0
    with pytest.raises(RateLimited) as caught:
        weights.look_up("drafter", "2")
    assert caught.value.retry_after == 1.0
    clock.now = 1.0
    assert weights.look_up("drafter", "2").version == "2"


def test_weights_that_do_not_exist(serve):
    class Empty(WeightStoreStandIn):
        def handle(self, request):
            return super().handle(request._replace(path="/none"))

    with pytest.raises(NotFound):
        WeightStore(serve(Empty()).url).look_up("drafter", "9")
