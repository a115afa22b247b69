"""Planning of orders: few at once, no last engine, no moves by a short imbalance.

Guards against orders that leave a model or the whole fleet without a warm engine.
"""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.decisions.orders import (
    IMBALANCE_SECONDS,
    MIN_STAY_SECONDS,
    EngineView,
    ModelDemand,
    Order,
    OrderKind,
    OrderPlanner,
    busy_limit,
)
from cranberrywick.model import EndpointPhase

WARM, COLD = EndpointPhase.WARM, EndpointPhase.COLD
MODELS = ("drafter", "reviewer")


def engine(number, held="drafter", version="1", phase=WARM, **fields):
    return EngineView(
        f"engine-{number:02}",
        f"domain-{number % 3}",
        phase,
        {held: version},
        fields.pop("adapters", frozenset()),
        MODELS,
        **fields,
    )


def wanted(name="drafter", version="1", adapters=(), utilisation=0.7):
    return ModelDemand(name, version, adapters, utilisation)


def test_a_new_version_is_loaded_by_one_engine_at_a_time():
    """Operators put version 2 first while sixteen engines serve version 1.

    If all were ordered at once, the whole fleet would be cold at the same time. One
    engine loads at a time, and the next gets its order when that one is warm.
    """
    planner = OrderPlanner()
    engines = {view.endpoint_id: view for view in map(engine, range(16))}
    ordered = []
    for now in range(0, 3200, 100):
        orders = planner.plan(list(engines.values()), [wanted(version="2")], now)
        assert len(orders) <= 1
        for view in engines.values():
            if view.phase is COLD:
                engines[view.endpoint_id] = view._replace(phase=WARM)
        for order in orders:
            ordered.append(order.endpoint_id)
            engines[order.endpoint_id] = engines[order.endpoint_id]._replace(
                version_by_model={"drafter": order.version}, phase=COLD
            )
    assert Counter(ordered) == dict.fromkeys(engines, 1)


def test_only_a_lasting_imbalance_moves_an_engine():
    planner = OrderPlanner()
    engines = [engine(n) for n in range(8)] + [engine(8, "reviewer")]
    imbalance = [wanted(utilisation=0.2), wanted("reviewer", utilisation=0.95)]
    balanced = [wanted(utilisation=0.6), wanted("reviewer", utilisation=0.7)]
    for now in range(0, 600, 30):
        models = imbalance if now % 60 else balanced
        assert planner.plan(engines, models, now) == []
    assert planner.plan(engines, balanced, 600.0) == []
    assert planner.plan(engines, imbalance, 1000.0) == []
    orders = planner.plan(engines, imbalance, 1000.0 + IMBALANCE_SECONDS)
    assert orders == [Order("engine-00", OrderKind.LOAD_MODEL, "reviewer", "1")]


def test_a_moved_engine_is_not_moved_again_soon():
    planner = OrderPlanner()
    views = [engine(0), engine(1), engine(2, "reviewer"), engine(3, "reviewer")]
    imbalance = [wanted(utilisation=0.2), wanted("reviewer", utilisation=0.95)]
    reversed_imbalance = [wanted(utilisation=0.95), wanted("reviewer", utilisation=0.2)]
    planner.plan(views, imbalance, 0.0)
    assert (
        planner.plan(views, imbalance, IMBALANCE_SECONDS)[0].endpoint_id == "engine-00"
    )
    moved = [engine(0, "reviewer"), engine(1), *views[2:]]
    planner.plan(moved, reversed_imbalance, 100.0)
    others = [
        order.endpoint_id for order in planner.plan(moved, reversed_imbalance, 300.0)
    ]
    assert others == ["engine-02"]
    others_cold = [engine(0, "reviewer"), engine(1), engine(2, phase=COLD)]
    assert planner.plan(others_cold, reversed_imbalance, MIN_STAY_SECONDS) == []


def test_a_missing_model_is_loaded_by_the_engine_best_spared():
    views = [engine(0, "reviewer"), engine(1), engine(2)]
    three = [wanted(), wanted("reviewer"), wanted("new", "7")]
    views = [view._replace(loadable=(*MODELS, "new")) for view in views]
    planner = OrderPlanner()
    assert planner.plan(views, three, 0.0) == []
    assert planner.plan(views, three, IMBALANCE_SECONDS, may_move=False) == []
    # While each model has a single engine, none is moved.
    assert planner.plan(views[:2], three, IMBALANCE_SECONDS) == []
    orders = planner.plan(views, three, IMBALANCE_SECONDS)
    assert orders == [Order("engine-01", OrderKind.LOAD_MODEL, "new", "7")]


def test_the_only_engine_of_a_model_still_gets_a_new_version():
    orders = OrderPlanner().plan([engine(0)], [wanted(version="2")], 0.0)
    assert orders == [Order("engine-00", OrderKind.LOAD_MODEL, "drafter", "2")]


def test_missing_adapters_and_roles_are_ordered():
    views = [engine(0), engine(1)]
    orders = OrderPlanner().plan(views, [wanted(adapters=("grants",))], 0.0)
    kind = OrderKind.LOAD_MODEL
    assert orders == [Order("engine-00", kind, "drafter", "1", "grants")]
    views = [engine(0, wanted_role="long"), engine(1)]
    orders = OrderPlanner().plan(views, [wanted()], 0.0)
    assert orders == [Order("engine-00", OrderKind.SET_ROLE, role="long")]


_engines = st.lists(
    st.builds(
        engine,
        st.integers(0, 40),
        held=st.sampled_from(MODELS),
        version=st.sampled_from(["1", "2"]),
        phase=st.sampled_from([WARM, WARM, COLD]),
    ),
    max_size=40,
    unique_by=lambda view: view.endpoint_id,
)


@given(views=_engines, version=st.sampled_from(["1", "2"]))
def test_every_plan_stays_within_the_limits(views, version):
    models = [wanted(name, version) for name in MODELS]
    orders = OrderPlanner().plan(views, models, 0.0)
    ordered = {order.endpoint_id for order in orders}
    busy = [v for v in views if v.is_busy or v.endpoint_id in ordered]
    domains = Counter(view.failure_domain for view in busy)
    for view in views:
        if view.endpoint_id in ordered:
            assert domains[view.failure_domain] == 1
            (name,) = view.version_by_model
            holders = [other for other in views if name in other.version_by_model]
            left = [other for other in holders if other not in busy]
            assert left or len(holders) == 1
    if orders:
        assert len(busy) <= busy_limit(len(views))
