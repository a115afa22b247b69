"""Unit tests of the gateway's routing decisions, without network or clock."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.errors import NotFound, Unauthorised
from cranberrywick.gateway.events import EventSplitter
from cranberrywick.platform.configuration import decode_configuration
from cranberrywick.routing.directory import choose_addresses
from cranberrywick.routing.engine_model import DELAY_PRICE, forecast, prefill_time
from cranberrywick.routing.freshness import RefreshPolicy
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.members import Heartbeat, Members, heartbeat_seconds
from cranberrywick.routing.model import EndpointRecord, EndpointView, OperatorView
from cranberrywick.routing.queue_order import order_key
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.retry_budget import RetryBudget
from cranberrywick.routing.table import RouteTable, pick_service


def record(endpoint_id="e1", **fields):
    known = EndpointRecord(endpoint_id, "pool", "10.0.0.1:1", "a", 8, False, 0.0, 1)
    return known._replace(**fields)


def view(revision, *records):
    return EndpointView(revision, {each.endpoint_id: each for each in records})


def heartbeat(daemon_id="d2", **fields):
    known = Heartbeat(
        daemon_id=daemon_id,
        incarnation=1,
        sequence=1,
        peer_address="10.0.0.2:7000",
        entry_address="10.0.0.2:80",
        failure_domain="a",
        leaving=False,
        operator_revision=0,
        operator_digest=0,
        operator_age=0.0,
        jobs=(),
    )
    return known._replace(**fields)


class TestRouteTable:
    @pytest.fixture
    def table(self):
        routes = [
            {"host": "h", "prefix": p, "kind": "safe", "timeoutMs": 1, "service": s}
            for p, s in (("/a/", "one"), ("/a/b/", "two"))
        ]
        document = {
            "version": 1,
            "routes": routes,
            "tenants": [{"name": "kask", "apiKeys": ["k"], "priority": 2}],
        }
        import json

        return RouteTable(decode_configuration(json.dumps(document).encode()))

    def test_the_longest_prefix_wins(self, table):
        assert table.match("H:80", "/a/b/c").prefix == "/a/b/"
        assert table.match("h", "/a/bc").prefix == "/a/"

    @pytest.mark.parametrize("path", ["/a", "/", "", "/b/a/"])
    def test_other_paths_have_no_route(self, table, path):
        with pytest.raises(NotFound):
            table.match("h", path)

    def test_unknown_keys_are_refused_unless_the_route_is_public(self, table):
        route = table.match("h", "/a/1")
        assert table.identify(route, "k").name == "kask"
        with pytest.raises(Unauthorised):
            table.identify(route, "other")
        assert table.identify(route._replace(public=True), None) is None

    def test_services_are_picked_by_weight(self):
        rng = random.Random(1)
        weights = (("one", 90.0), ("two", 10.0), ("none", 0.0))
        picked = [pick_service(weights, rng) for _ in range(2000)]
        assert 150 < picked.count("two") < 250
        assert "none" not in picked


class TestEndpointRegistry:
    def test_an_older_snapshot_changes_nothing(self):
        """Guards against new work at an endpoint that is known to be leaving.

        A peer's older snapshot arrives after the daemon's own; its revision shows that
        it is older.
        """
        registry = EndpointRegistry()
        registry.apply(view(5, record(draining=True)), 1.0, 1.0)
        registry.apply(view(4, record()), 1.1, 1.2)
        assert registry.tracked_by_id["e1"].record.draining

    def test_what_is_missing_in_steady_state_is_gone(self):
        registry = EndpointRegistry()
        registry.apply(view(1, record("e1"), record("e2")), 1.0, 1.0)
        changes = registry.apply(view(2, record("e1")), 1.5, 1.5)
        assert [(c.endpoint_id, c.what) for c in changes] == [("e2", "gone")]

    def test_records_that_lapsed_in_an_outage_are_kept_for_a_while(self):
        """Guards against the loss of endpoints that are alive after a store outage.

        The store was unavailable for five seconds, in which every record expired. The
        first snapshot shows none; an endpoint still missing two seconds later is gone.
        """
        registry = EndpointRegistry()
        registry.apply(view(1, record("e1"), record("e2")), 1.0, 1.0)
        registry.apply(view(9), 6.0, 6.0)
        assert registry.tracked_by_id.keys() == {"e1", "e2"}
        registry.apply(view(10, record("e1")), 7.0, 7.0)
        assert registry.tracked_by_id.keys() == {"e1", "e2"}
        registry.apply(view(11, record("e1")), 8.1, 8.1)
        assert registry.tracked_by_id.keys() == {"e1"}

    def test_one_that_was_leaving_is_not_kept(self):
        registry = EndpointRegistry()
        registry.apply(view(1, record(draining=True)), 1.0, 1.0)
        registry.apply(view(9), 6.0, 6.0)
        assert not registry.tracked_by_id

    def test_a_restart_under_the_same_id_is_reported(self):
        registry = EndpointRegistry()
        registry.apply(view(1, record(born=1)), 1.0, 1.0)
        changes = registry.apply(view(2, record(born=2)), 1.5, 1.5)
        assert [c.what for c in changes] == ["restarted"]


class TestMembers:
    def test_a_silent_daemon_is_no_longer_named(self):
        members = Members("d1", 3.0)
        members.receive(heartbeat(), 0.0)
        assert members.serving(2.0)
        assert not members.serving(2.1)

    def test_a_larger_fleet_receives_few_more_heartbeats_and_detects_in_time(self):
        """Guards against heartbeats that grow with the fleet, and late detection.

        A dead daemon's address is given to callers for four seconds, in the largest
        fleets for no longer than the deployment allows.
        """
        assert 100 / heartbeat_seconds(100) <= 168
        assert 320 / heartbeat_seconds(320) < 300
        members = Members("d1", 3.0)
        for number in range(100):
            members.receive(heartbeat(f"m{number}"), 0.0)
        assert members.silence_seconds <= 5.0
        members = Members("d1", 3.0)
        for number in range(320):
            members.receive(heartbeat(f"m{number}"), 0.0)
        assert members.silence_seconds == 5.0

    def test_a_leaving_daemon_is_alive_but_gets_no_new_callers(self):
        members = Members("d1", 3.0)
        members.receive(heartbeat(leaving=True), 0.0)
        assert members.alive(0.1) and not members.serving(0.1)

    def test_an_old_heartbeat_changes_nothing(self):
        members = Members("d1", 3.0)
        members.receive(heartbeat(sequence=7, leaving=True), 0.0)
        assert not members.receive(heartbeat(sequence=6), 0.1)
        assert not members.serving(0.1)

    def test_a_restarted_daemon_counts_from_one(self):
        members = Members("d1", 3.0)
        members.receive(heartbeat(sequence=700), 0.0)
        assert members.receive(heartbeat(incarnation=2, sequence=1), 0.1)

    def test_a_restart_with_the_clock_set_back_is_accepted_once_the_old_one_is_silent(
        self,
    ):
        """Guards against ignoring a daemon that restarts after its clock was set back.

        Its incarnation, taken from the time of day, is lower than before. A delayed
        heartbeat of an earlier incarnation looks the same, but arrives while the later
        one is not silent.
        """
        members = Members("d1", 3.0)
        members.receive(heartbeat(incarnation=9, sequence=700), 0.0)
        assert not members.receive(heartbeat(incarnation=8, sequence=1), 0.5)
        assert not members.receive(heartbeat(incarnation=9, sequence=3), 2.5)
        assert members.receive(heartbeat(incarnation=8, sequence=2), 2.5)
        assert members.serving(2.6)

    def test_after_a_pause_of_its_own_a_daemon_suspects_no_member(self):
        """Guards against a daemon that takes all others for dead after its own freeze.

        The VM was frozen for five seconds, in which the daemon received no heartbeats.
        """
        members = Members("d1", 3.0)
        members.receive(heartbeat(), 0.0)
        members.detect_silent(0.1)
        assert members.detect_silent(5.1) == []
        assert members.serving(5.1)

    def test_the_rank_counts_only_those_that_serve(self):
        members = Members("d5", 3.0)
        for name in ("d1", "d2", "d9"):
            members.receive(heartbeat(name, leaving=name == "d2"), 0.0)
        assert members.rank(0.1) == 1


class TestRefreshPolicy:
    def test_the_next_takes_over_before_a_leaving_endpoint_must_be_left_alone(self):
        """Guards against snapshots older than the time that an endpoint drains.

        The daemon that reads is lost, then the next one, then all others at once. Each
        remaining one reads well within two seconds.
        """
        policy = RefreshPolicy(2.0, random.Random(1))
        limits = [policy.age_limit(rank) for rank in range(90)]
        assert limits == sorted(limits)
        assert limits[0] < 0.5 and limits[-1] <= 1.2

    def test_the_next_daemon_waits_for_slow_snapshots(self):
        """Guards against several daemons reading snapshots of a megabyte each.

        The first one's snapshots of thousands of endpoints arrive 0.8 s old.
        """
        policy = RefreshPolicy(3.0, random.Random(1))
        for _ in range(20):
            policy.arrived(0.8)
        assert policy.age_limit(0) < 0.5
        assert policy.age_limit(1) > 0.8 + 0.45
        assert policy.age_limit(89) <= 0.6 * 3.0

    @pytest.mark.parametrize("members", [1, 9, 84, 320])
    def test_an_outage_does_not_make_calls_grow_with_the_fleet(self, members):
        """Guards against hundreds of calls a second when the store recovers.

        It does not answer for twenty seconds, and each daemon calls it by itself.
        """
        rng = random.Random(2)
        calls = 0
        for _ in range(members):
            policy, now = RefreshPolicy(2.0, rng), 0.0
            while now < 20.0:
                now += policy.failed(members, now)
                calls += 1
        assert calls / 20.0 < 8 if members < 16 else calls / 20.0 < members / 2


class TestRetryBudget:
    @given(
        members=st.integers(1, 90),
        requests=st.integers(0, 400),
    )
    def test_the_fleet_stays_within_its_allowance(self, members, requests):
        """Guards against a retry storm from all daemons together.

        All requests of every daemon fail, and each daemon sends as many retries as it
        may.
        """
        taken = 0
        for daemon in range(members):
            budget = RetryBudget(0.2, 10.0, 106.0)
            own = requests // members + (daemon < requests % members)
            for _ in range(own):
                budget.record_request("pool", 1.0)
            while budget.take("pool", members, 2.0):
                taken += 1
        assert taken <= 0.2 * requests + 106.0

    def test_the_window_slides(self):
        budget = RetryBudget(0.0, 10.0, 10.0)
        taken = sum(budget.take("pool", 1, 0.0) for _ in range(20))
        assert not budget.take("pool", 1, 9.9)
        assert budget.take("pool", 1, 10.1)
        assert taken == 8


class TestEndpointHealth:
    def test_cooldowns_grow_with_each_failure(self):
        health = EndpointHealth()
        cooldowns = [health.failed("e1", 0.0) for _ in range(6)]
        assert cooldowns == sorted(cooldowns)
        assert health.is_cooling_down("e1", cooldowns[-1] - 0.01)
        assert not health.is_cooling_down("e1", cooldowns[-1] + 0.01)

    def test_old_failures_are_forgotten(self):
        """Guards against an endpoint that is avoided for ever after failures.

        It gets no requests because of its failure share, so only time can lower that.
        """
        health = EndpointHealth()
        for _ in range(10):
            health.failed("e1", 0.0)
        assert health.failure_share("e1", 0.0) > 0.6
        assert health.failure_share("e1", 20.0) < 0.01

    def test_requests_that_fail_everywhere_cause_no_cooldown(self):
        health = EndpointHealth()
        health.answered_failure("e1", 0.0)
        assert not health.is_cooling_down("e1", 0.0)


class TestQueueOrder:
    def test_requests_are_ordered_by_priority_and_late_ones_come_last_within_it(self):
        now = 10.0
        keys = {
            "urgent": order_key(0, 12.0, now),
            "soon": order_key(1, 10.5, now),
            "later": order_key(1, 13.0, now),
            "late": order_key(1, 9.0, now),
        }
        assert sorted(keys, key=keys.get) == ["urgent", "soon", "later", "late"]


class TestDirectory:
    def test_callers_receive_the_addresses_of_serving_daemons(self):
        serving = [heartbeat("d2", entry_address="b:1")]
        rng = random.Random(1)
        assert choose_addresses(serving, "a:1", False, rng) == ["a:1", "b:1"]
        assert choose_addresses(serving, "a:1", True, rng) == ["b:1"]
        assert choose_addresses([], "a:1", True, rng) == ["a:1"]

    def test_a_large_fleet_gives_as_many_as_callers_take(self):
        serving = [heartbeat(f"d{n}", entry_address=f"b:{n}") for n in range(300)]
        addresses = choose_addresses(serving, "a:1", False, random.Random(1))
        assert len(addresses) == len(set(addresses)) == 64


class TestFleetLoad:
    def test_jobs_of_all_daemons_are_seen_at_an_endpoint(self):
        load = FleetLoad()
        load.put("r1", [Job("e1", 10, 0.1, 0.0, 0.1)])
        load.receive("d2", [Job("e1", 20, 0.1, 0.0, 0.1)], 0.0)
        assert sorted(job.held_tokens for job in load.at("e1")) == [10, 20]
        load.drop("r1")
        load.evict_silent(10.0)
        assert not load.at("e1")

    def test_what_the_fleet_places_in_a_second_is_counted(self):
        load = FleetLoad()
        load.put("r1", [Job("e1", 10, 0.1, 0.0, 0.1)])
        helper = Job("e2", 0, 0.1, 5.0, 5.1, helper=True)
        load.receive("d2", [Job("e1", 20, 0.1, 5.0, 5.1), helper], 5.0)
        assert load.placed_each_second(5.5) == 1


class TestEngineModel:
    PROFILE = None

    @pytest.fixture
    def profile(self):
        from cranberrywick.bench.prompt_engines import PROFILE

        return PROFILE

    def test_parts_divide_the_prefill(self, profile):
        whole = prefill_time(profile, 154_000)
        assert whole == pytest.approx(3.05, rel=0.01)
        assert prefill_time(profile, 154_000, 4) == pytest.approx(whole / 4)

    def test_prefill_interferes_with_answers_whose_pauses_it_makes_too_long(
        self, profile
    ):
        """Guards against prefill that makes the pauses of an answer too long.

        A pause is the whole pass: its steps and all prefill in it.
        """
        writer = Job("e1", 5000, 0.03, 0.0, 0.0, decoding=True, gap_seconds=0.25)
        engine = forecast(profile, [writer], 1.0)
        assert engine.interference(0.1) == 0
        assert engine.interference(0.3) == 1

    def test_parts_of_joint_prompts_are_read_first(self, profile):
        """Guards against a forecast that takes parts for read in order of arrival.

        A helper's part delays a waiting prompt; a later whole prompt does not.
        """
        waiting = Job("e1", 5000, 0.5, 0.0, 0.5, due_at=1.0)
        engine = forecast(profile, [waiting], 0.0)
        assert engine.interference(0.8, joint=True) == 1 + DELAY_PRICE * 0.8
        assert engine.interference(0.8) == 0

    def test_every_part_that_came_later_counts(self, profile):
        """Guards against a forecast that ignores the parts which arrived later.

        Several parts overtake a prompt. Each alone would leave it on time; the fourth
        makes it late.
        """
        waiting = Job("e1", 5000, 0.5, 0.0, 0.5, due_at=2.2)
        part = Job("e1", 0, 0.5, 0.0, 0.5, helper=True, joint=True, value=0.0)
        engine = forecast(profile, [waiting, part, part, part], 0.0)
        assert engine.interference(0.5, joint=True) == 1 + DELAY_PRICE * 0.5

    def test_a_prompt_that_is_late_already_is_not_overtaken_for_nothing(self, profile):
        """Guards against parts that overtake a late prompt again and again.

        Its caller still waits: an engine where no prompt waits is the better one.
        """
        late = Job("e1", 5000, 0.5, 0.0, 0.5, due_at=0.1, value=20.0)
        engine = forecast(profile, [late], 0.0)
        assert 0 < engine.interference(0.5, joint=True) < late.value
        assert engine.interference(0.5) == 0

    def test_the_part_that_came_last_is_read_first(self, profile):
        """Guards against a very long prompt that is late behind parts of later prompts.

        At the engines that read its parts, parts of later prompts arrive one after
        another and are read first. The first prompt waits for all of them, and one more
        of half a second makes it late.
        """
        first = Job("e1", 0, 1.0, 0.0, 1.0, due_at=2.4, helper=True, joint=True)
        second = first._replace(started_at=0.4, due_at=9.0, value=0.0)
        engine = forecast(profile, [second, first], 0.9)
        assert [each.job for each in engine.pending] == [second, first]
        assert [each.ready_in for each in engine.pending] == pytest.approx([0.5, 1.1])
        assert engine.interference(0.5, joint=True) == 1 + DELAY_PRICE * 0.5
        assert engine.interference(0.3, joint=True) == DELAY_PRICE * 0.3

    def test_a_part_goes_ahead_of_all_that_waits(self, profile):
        """Guards against forecasts that make a part wait for other prefill.

        A part waits for its own prefill only, a whole prompt for all others' too.
        """
        alone = Job("e1", 5000, 0.6, 0.0, 0.6)
        part = Job("e1", 0, 0.5, 0.0, 0.5, helper=True, joint=True)
        engine = forecast(profile, [alone, part], 0.2)
        one_pass = profile.stride * profile.step_seconds
        expected = 0.1 + one_pass
        assert engine.first_event(0.1, joint=True) == pytest.approx(expected)
        assert engine.first_event(0.1) == pytest.approx(0.3 + 0.6 + expected)

    def test_an_idle_engine_answers_after_a_pass(self, profile):
        """Guards against forecasts that are too early at an idle engine.

        Every event, including the first one, holds the tokens of a whole pass.
        """
        one_pass = profile.stride * profile.step_seconds
        assert forecast(profile, [], 0.0).first_event(0.1) == pytest.approx(
            0.1 + one_pass
        )

    def test_what_a_part_overtakes_is_read_in_its_own_answer(self, profile):
        """Guards against a joint prompt whose answer pauses for what it has overtaken.

        A short prompt in two parts overtakes a long one's part. Its first event is on
        time, but the long part is read before its second event, about a second later.
        """
        part = Job("e1", 0, 0.9, 0.0, 0.9, helper=True, joint=True)
        engine = forecast(profile, [part], 0.0)
        one_pass = profile.stride * profile.step_seconds
        assert engine.first_event(0.02, joint=True) == pytest.approx(0.02 + one_pass)
        assert engine.exceeds_gap(0.25, joint=True)
        assert not engine.exceeds_gap(0.25)
        assert not engine.exceeds_gap(1.2, joint=True)

    def test_an_answer_that_is_about_to_begin_is_spared_a_pause(self, profile):
        """Guards against a long prefill placed behind a short prompt.

        The first event of the short prompt would be on time, but the second one would
        follow a second later.
        """
        short = Job("e1", 5000, 0.05, 0.0, 0.05, due_at=0.3, gap_seconds=0.25)
        engine = forecast(profile, [short], 0.0)
        assert engine.interference(1.0) == 1
        assert engine.interference(0.1) == 0


class TestEventSplitter:
    @given(st.lists(st.integers(1, 40), max_size=20))
    def test_only_whole_events_go_on_however_the_bytes_come(self, cuts):
        stream = b"".join(f"id: {n}\ndata: x\n\n".encode() for n in range(1, 12))
        splitter, passed, start = EventSplitter(), b"", 0
        for cut in cuts:
            passed += splitter.feed(stream[start : start + cut])
            start += cut
            assert stream.startswith(passed)
            assert passed == b"" or passed.endswith(b"\n\n")
            if passed:
                assert splitter.last_id == str(passed.count(b"id:"))
        assert passed + splitter.flush() == stream[:start]


class TestOperatorView:
    def test_views_differ_by_what_they_say_and_not_by_revision(self):
        one = OperatorView.of(1, b"{}", frozenset({"a", "b"}))
        assert one.digest == OperatorView.of(9, b"{}", frozenset({"b", "a"})).digest
        assert one.digest != OperatorView.of(1, b"{}", frozenset({"a"})).digest


def test_the_health_of_removed_endpoints_is_dropped():
    health = EndpointHealth()
    health.failed("e1", 0.0)
    health.failed("e2", 0.0)
    health.keep_only({"e2"})
    assert not health.is_cooling_down("e1", 0.1)
    assert health.is_cooling_down("e2", 0.1)
