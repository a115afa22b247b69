"""A VM that reaches no endpoint of a service, told from endpoints that have died.

Load: requests to sixteen endpoints of one service and three of another.
"""

from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.routing.reachability import EndpointReachability


def fail(reachability, service, *endpoint_ids, known):
    return [
        reachability.failed(service, endpoint_id, known) for endpoint_id in endpoint_ids
    ]


def test_an_endpoint_that_died_does_not_make_its_service_unreachable():
    """Guards against a dead endpoint being taken for a lost link."""
    reachability = EndpointReachability()
    assert not any(fail(reachability, "pool", *["e1"] * 50, known=16))
    assert not any(fail(reachability, "pool", "e2", known=16))
    assert not reachability.connected("pool")
    assert not any(fail(reachability, "pool", "e3", "e4", known=16))
    assert reachability.unreachable_services == ()


def test_several_endpoints_in_a_row_make_their_service_unreachable_once():
    """Guards against a cut VM that tries every endpoint for every request."""
    reachability = EndpointReachability()
    changes = fail(reachability, "pool", "e1", "e2", "e3", "e4", known=16)
    assert changes == [False, False, True, False]
    assert reachability.unreachable_services == ("pool",)
    assert not reachability.is_unreachable("desk")


def test_all_endpoints_of_a_small_service_are_enough():
    """Guards against a cut that is never noticed at a service of two endpoints."""
    reachability = EndpointReachability()
    assert fail(reachability, "desk", "e1", "e2", known=2) == [False, True]
    assert fail(reachability, "solo", "e3", known=1) == [True]


def test_one_accepted_connection_ends_it():
    """Guards against a VM that keeps away from endpoints after its links are back."""
    reachability = EndpointReachability()
    fail(reachability, "pool", "e1", "e2", "e3", known=16)
    assert reachability.connected("pool")
    assert not reachability.connected("pool")
    assert not reachability.is_unreachable("pool")
    assert reachability.failed_ids("pool") == frozenset()
    assert not any(fail(reachability, "pool", "e1", "e2", known=16))


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 5)),
        max_size=60,
    ),
    st.integers(1, 6),
)
def test_it_agrees_with_the_connections_since_the_last_accepted_one(outcomes, known):
    """Guards against a state that earlier connections have left behind."""
    reachability = EndpointReachability()
    failed = set()
    unreachable = False
    for accepted, number in outcomes:
        if accepted:
            assert reachability.connected("pool") == unreachable
            failed, unreachable = set(), False
            continue
        failed.add(f"e{number}")
        is_new = len(failed) >= min(3, known) and not unreachable
        assert reachability.failed("pool", f"e{number}", known) == is_new
        unreachable |= is_new
        assert reachability.is_unreachable("pool") == unreachable
