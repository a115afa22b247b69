"""A VM that reaches no endpoint of a service, told from endpoints that have died.

Load: requests to sixteen endpoints of one service and three of another.
"""

from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.routing.reachability import (
    EndpointReachability,
    Reach,
    ReachStatement,
)

POOL = {f"e{number}" for number in range(16)}
DESK = {"d0", "d1", "d2"}


def fail(reachability, service, endpoint_ids, known_ids):
    """Record failed connections; return the reach after each."""
    reaches = []
    for endpoint_id in endpoint_ids:
        reachability.failed(service, endpoint_id, known_ids)
        reaches.append(reachability.reach(service))
    return reaches


def test_an_endpoint_that_died_does_not_make_its_service_unreached():
    """Guards against a dead endpoint being taken for a lost link."""
    reachability = EndpointReachability()
    assert set(fail(reachability, "pool", ["e1"] * 50, POOL)) == {Reach.FULL}
    assert reachability.is_suspected("pool")
    assert not reachability.connected("pool", "e2", POOL)
    assert not reachability.is_suspected("pool")
    assert fail(reachability, "pool", ["e3", "e4"], POOL)[-1] is Reach.FULL


def test_several_endpoints_in_a_row_make_their_service_poorly_reached():
    """Guards against a cut VM that tries every endpoint for every request."""
    reachability = EndpointReachability()
    reaches = fail(reachability, "pool", [f"e{n}" for n in range(8)], POOL)
    assert reaches == [Reach.FULL] * 2 + [Reach.POOR] * 5 + [Reach.NONE]
    assert reachability.reach("desk") is Reach.FULL


def test_all_endpoints_of_a_small_service_are_enough():
    """Guards against a cut that is never noticed at a service of few endpoints."""
    reachability = EndpointReachability()
    reaches = fail(reachability, "desk", ["d0", "d1", "d2"], DESK)
    assert reaches == [Reach.FULL, Reach.POOR, Reach.NONE]
    assert fail(reachability, "solo", ["s0"], {"s0"}) == [Reach.NONE]


def test_a_service_of_which_one_endpoint_lives_is_not_lost():
    """Guards against refusals while the last endpoint of a service still serves."""
    reachability = EndpointReachability()
    fail(reachability, "desk", ["d0", "d1"], DESK)
    reachability.connected("desk", "d2", DESK)
    assert fail(reachability, "desk", ["d0", "d1"] * 9, DESK)[-1] is Reach.POOR


def test_a_service_is_reached_again_when_most_endpoints_are():
    """Guards against all requests going to the one endpoint that is reached first."""
    reachability = EndpointReachability()
    fail(reachability, "pool", sorted(POOL), POOL)
    reaches = []
    for endpoint_id in sorted(POOL):
        assert reachability.connected("pool", endpoint_id, POOL)
        reaches.append(reachability.reach("pool"))
    assert reaches == [Reach.POOR] * 7 + [Reach.FULL] * 9
    assert reachability.unreached_ids("pool") == frozenset()


def test_endpoints_that_were_removed_do_not_count():
    """Guards against a service that stays lost for endpoints that are gone."""
    reachability = EndpointReachability()
    fail(reachability, "desk", ["d0", "d1"], DESK)
    reachability.refresh("desk", {"d2", "d3"})
    assert reachability.reach("desk") is Reach.FULL
    fail(reachability, "desk", ["d2", "d3"], {"d2", "d3"})
    reachability.refresh("desk", frozenset())
    assert reachability.statement(7) == ReachStatement(7)


def test_heartbeats_state_what_is_not_reached():
    """Guards against requests forwarded to a peer that is cut off as well."""
    reachability = EndpointReachability()
    fail(reachability, "desk", DESK, DESK)
    fail(reachability, "pool", ["e1", "e2", "e3"], POOL)
    assert reachability.statement(7341) == ReachStatement(7341, ("desk",), ("pool",))


@given(
    st.lists(st.tuples(st.booleans(), st.integers(0, 11)), max_size=80),
    st.integers(1, 12),
)
def test_it_agrees_with_the_last_connection_of_each_endpoint(outcomes, known):
    """Guards against a state that earlier connections have left behind."""
    reachability = EndpointReachability()
    known_ids = {f"e{number}" for number in range(known)}
    unreached, in_row = set(), set()
    for accepted, number in outcomes:
        endpoint_id = f"e{number % known}"
        if accepted:
            assert reachability.connected("pool", endpoint_id, known_ids) == (
                endpoint_id in unreached
            )
            unreached.discard(endpoint_id)
            in_row = set()
        else:
            reachability.failed("pool", endpoint_id, known_ids)
            unreached.add(endpoint_id)
            in_row.add(endpoint_id)
        expected = Reach.FULL
        if len(in_row) >= 3 or 2 * len(unreached) > known:
            expected = Reach.POOR
        if len(unreached) == known or len(in_row) >= 8:
            expected = Reach.NONE
        assert reachability.reach("pool") is expected
        assert reachability.unreached_ids("pool") == unreached
