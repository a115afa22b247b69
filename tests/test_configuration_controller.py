"""Tests for the configuration in force, whose version must never decrease."""

import itertools

import pytest
from configuration_documents import document
from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.configuration.store import (
    CURRENT_KEY,
    HISTORY_LENGTH,
    SETTLE_SECONDS,
    ChangeOutcomeUnknown,
    ConfigurationStore,
    NewerVersion,
)
from cranberrywick.controllers.configuration import ConfigurationController
from cranberrywick.errors import InvalidConfiguration, NotFound, PlatformUnavailable
from cranberrywick.standin.kv import InProcessKeyValueStore, KeyValueStandIn

# Longest wait for a result, in seconds; only a test that fails waits this long.
WAIT_SECONDS = 30.0
CURRENT_PATH = f"/v1/keys/{CURRENT_KEY}"


@pytest.fixture
def standin():
    standin = KeyValueStandIn()
    yield standin
    standin.faults.close()
    standin.stopping()


@pytest.fixture
def store(standin):
    return ConfigurationStore(
        InProcessKeyValueStore(standin), sleep=lambda seconds: None
    )


@pytest.fixture
def start_controller(standin):
    controllers = []

    def start():
        controller = ConfigurationController(InProcessKeyValueStore(standin), seed=1)
        controllers.append(controller)
        controller.start()
        return controller

    yield start
    for controller in controllers:
        controller.stop()


def take_out(*domains):
    """Return an edit that sets the failure domains that are out."""
    return lambda _: document(failure_domains_out=list(domains))


def wait_for_reads(standin, count):
    """Wait until the stand-in has served ``count`` more reads."""
    wanted = standin.counts_by_kind.get("read", 0) + count
    ticks = itertools.count()
    while standin.counts_by_kind.get("read", 0) < wanted:
        assert next(ticks) < WAIT_SECONDS * 100
        standin.faults.pause(0.01)


def test_a_change_is_in_force_on_every_daemon(start_controller):
    first, second = start_controller(), start_controller()
    seen = []
    second.on_change(lambda accepted: seen.append(accepted.version))
    accepted = first.change(take_out("a"), operator="op")
    assert first.current.version == accepted.version == 1
    assert second.wait_for_version(1, WAIT_SECONDS)
    assert second.current.configuration.domains_out == {"a"}
    assert seen[-1] == 1
    assert [change.operator for change in second.current.changes] == ["op"]


def test_stale_reads_never_turn_it_back(standin, start_controller):
    """Guards against a stale read that puts an older version in force again.

    A daemon has received version 2 from a peer while reads from the platform still
    return version 1. With version 1 in force, a failure domain that operators took
    out would get new work.
    """
    controller = start_controller()
    controller.change(take_out())
    standin.freeze_reads()
    ConfigurationStore(InProcessKeyValueStore(standin)).change(take_out("a"))
    controller.offer_from_peer(2, "f" * 16, document(failure_domains_out=["a"]))
    assert controller.wait_for_version(2, WAIT_SECONDS)
    # The answers of the watch are stale, too, so the daemon reads after each of them.
    wait_for_reads(standin, 2)
    assert controller.current.version == 2
    assert controller.current.configuration.domains_out == {"a"}


def test_a_missed_watch_event_is_made_good_by_a_read(standin, store, start_controller):
    """Guards against keeping an old version forever because a watch missed a change.

    The watch ends without the event, as after a gap in its events. The daemon must
    find the change by the read that follows each watch.
    """
    controller = start_controller()
    controller.change(take_out())
    standin.faults.set("watch_gap")
    store.change(take_out("a"))
    assert controller.wait_for_version(2, WAIT_SECONDS)


def test_a_daemon_that_starts_in_an_outage_takes_it_from_peers(
    standin, store, start_controller
):
    """A daemon on a new VM starts during an outage of the platform.

    It must not be ready without a configuration, since defaults would refuse every
    caller or accept a withdrawn key. With version 2 from a peer it is ready, and keeps
    it when the platform is back and a lagging replica answers with version 1.
    """
    store.change(take_out())
    standin.freeze_reads()
    accepted = store.change(take_out("a"))
    standin.faults.set("outage")
    controller = start_controller()
    assert not controller.ready
    controller.offer_from_peer(2, accepted.change_id, accepted.document)
    assert controller.wait_for_version(2, WAIT_SECONDS)
    assert controller.ready
    standin.faults.clear("outage")
    wait_for_reads(standin, 1)
    assert controller.current.version == 2


def test_a_version_from_a_peer_gets_its_list_of_changes_later(
    standin, store, start_controller
):
    """A version from a peer has no list of changes; the platform's copy adds it."""
    standin.faults.set("outage")
    controller = start_controller()
    standin.faults.clear()
    accepted = store.change(take_out("a"), operator="op")
    controller.offer_from_peer(1, accepted.change_id, accepted.document)
    assert controller.wait_for_version(1, WAIT_SECONDS)
    ticks = itertools.count()
    while not controller.current.changes:
        assert next(ticks) < WAIT_SECONDS * 100
        standin.faults.pause(0.01)
    assert [change.operator for change in controller.current.changes] == ["op"]


def test_a_daemon_that_starts_on_stale_reads_gets_the_newest(
    standin, store, start_controller
):
    """Guards against a start with the outdated version of a stale read.

    Version 2 has been accepted, but reads still return version 1. The daemon knows no
    version to compare with, so it must first try a write that is bound to fail: the
    refusal contains the current value.
    """
    store.change(take_out())
    standin.freeze_reads()
    store.change(take_out("a"))
    versions = []
    controller = start_controller()
    controller.on_change(lambda accepted: versions.append(accepted.version))
    assert controller.wait_for_version(2, WAIT_SECONDS)
    assert versions in ([], [2])


def test_a_fleet_without_configuration_is_not_ready(start_controller):
    controller = start_controller()
    assert controller.wait_for_version(0, WAIT_SECONDS)
    assert not controller.ready


def test_an_unusable_stored_value_is_ignored(standin, start_controller):
    controller = start_controller()
    controller.change(take_out("a"))
    InProcessKeyValueStore(standin).put(CURRENT_KEY, '{"version": 9}')
    wait_for_reads(standin, 1)
    assert controller.current.version == 1


def test_a_peer_cannot_bring_an_invalid_document(start_controller):
    controller = start_controller()
    with pytest.raises(InvalidConfiguration):
        controller.offer_from_peer(5, "x", {"weights": 1})


def test_a_failing_callback_does_not_keep_a_version_from_others(start_controller):
    controller = start_controller()
    seen = []
    controller.on_change(lambda accepted: 1 / 0)
    controller.on_change(seen.append)
    controller.change(take_out())
    assert seen[-1].version == 1


def test_a_lost_answer_is_settled_by_the_change_id(standin, store):
    """A change is written, but the answer to the write is lost.

    The operator must get the result that it was accepted. A second write would add a
    version that nobody asked for, and an error would be wrong.
    """
    store.change(take_out())
    standin.faults.set("drop_next_answer", count=1, path=CURRENT_PATH)
    # The first write on this path is the one that is bound to fail and serves as a
    # read; its answer is lost as well.
    with pytest.raises(PlatformUnavailable):
        store.change(take_out("a"))
    assert store.read().version == 1
    edits = []

    def edit(current):
        # The fault is set after the read, so that the next write is the change.
        standin.faults.set("drop_next_answer", count=1, path=CURRENT_PATH)
        edits.append(current)
        return document(failure_domains_out=["a"])

    accepted = store.change(edit)
    assert accepted.version == 2
    assert store.read().change_id == accepted.change_id
    assert len(edits) == 1


def test_a_lost_answer_is_settled_even_when_another_change_follows(standin):
    """Operator A's write is done, its answer is lost, and B makes another change.

    A reads back version 2, which is B's. A must find its own change in that version's
    list of changes, return it as accepted and not write a second time.
    """
    key_value = InProcessKeyValueStore(standin)
    other = ConfigurationStore(key_value)
    store = ConfigurationStore(
        key_value, sleep=lambda seconds: other.change(take_out("b"), operator="B")
    )

    edits = []

    def edit(_):
        if not edits:
            standin.faults.set("drop_next_answer", count=1, path=CURRENT_PATH)
        edits.append("a")
        return document(failure_domains_out=["a"])

    found = store.change(edit, operator="A")
    assert [change.operator for change in found.changes] == ["A", "B"]
    assert store.read().version == 2


def test_an_outcome_that_stays_unknown_is_reported(standin):
    """An outage of minutes begins just after a change has been sent."""
    now = [0.0]

    def sleep(seconds):
        now[0] += max(seconds, 1.0)

    store = ConfigurationStore(
        InProcessKeyValueStore(standin), sleep=sleep, clock=lambda: now[0]
    )

    def edit(_):
        standin.faults.set("drop_next_answer", path=CURRENT_PATH)
        return document()

    with pytest.raises(ChangeOutcomeUnknown) as caught:
        store.change(edit, change_id="c1")
    assert now[0] >= SETTLE_SECONDS
    standin.faults.clear()
    # A repetition with the same change id finds the change that was made.
    assert store.change(lambda _: document(), change_id="c1").version == 1
    assert caught.value.change_id == "c1"


def test_of_two_operators_one_wins_and_the_other_sees_the_newer_version(store):
    """Guards against a write that undoes a change made since its base version."""
    store.change(take_out())
    store.change(take_out("a"), base_version=1, operator="first")
    with pytest.raises(NewerVersion) as caught:
        store.change(take_out("b"), base_version=1, operator="second")
    assert caught.value.current.version == 2
    assert caught.value.current.configuration.domains_out == {"a"}


def test_edits_without_a_base_are_made_again_on_what_won(standin, store):
    """Guards against a lost change when two operators edit at the same moment."""

    def add(name, before=lambda: None):
        def edit(current):
            before()
            out = current.get("failure_domains_out", [])
            return document(failure_domains_out=sorted({*out, name}))

        return edit

    race = iter([lambda: store.change(add("b"))])
    store.change(add("a", before=lambda: next(race, lambda: None)()))
    assert store.read().configuration.domains_out == {"a", "b"}


def test_history_is_kept_without_holes_and_bounded(standin, store):
    for number in range(HISTORY_LENGTH + 5):
        store.change(take_out(f"d{number}"))
    kept = [
        version for version in range(1, HISTORY_LENGTH + 6) if _kept(store, version)
    ]
    assert kept == list(range(6, HISTORY_LENGTH + 6))
    assert store.read_version(6).configuration.domains_out == {"d5"}


def _kept(store, version):
    try:
        return store.read_version(version).version == version
    except NotFound:
        return False


def test_versions_grow_on_when_the_platform_lost_its_keys(standin, start_controller):
    """The store loses its keys while daemons have version 2 in force.

    A version that starts at 1 again would be ignored by all of them.
    """
    controller = start_controller()
    controller.change(take_out("a"))
    controller.change(take_out("a", "b"))
    InProcessKeyValueStore(standin).delete(CURRENT_KEY)
    assert controller.change(take_out("b")).version == 3
    assert controller.current.configuration.domains_out == {"b"}


@given(
    offers=st.lists(
        st.tuples(st.integers(1, 6), st.sampled_from(["x", "y"])), max_size=20
    )
)
def test_any_order_of_offers_ends_at_the_newest(offers):
    controller = ConfigurationController(InProcessKeyValueStore(KeyValueStandIn()))
    versions = []
    controller.on_change(lambda accepted: versions.append(accepted.order))
    controller._publisher = controller_publisher(controller)
    for version, change_id in offers:
        controller.offer_from_peer(version, change_id, document())
    assert versions == sorted(set(versions))
    assert versions[-1:] == sorted(offers)[-1:]


def controller_publisher(controller):
    """Return a substitute for the actor that decides at once, on this thread."""

    class Publisher:
        @staticmethod
        def tell(offer):
            controller._put_in_force(offer)

    return Publisher
