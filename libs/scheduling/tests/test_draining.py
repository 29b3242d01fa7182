"""Workers drain while the rest of the fleet is full of long work.

Guards against stopping unsaved work on draining workers while no other worker has capacity: 4,100
core-seconds were lost on kowhai-spar scale-2.
"""

import attrs

from papayaspar_scheduling import ordering

NORMAL = ordering.Rank.NORMAL


def _drain(bench, make_step, node):
    """Drain a worker, and return the demand of a unit that runs there and can't finish in time."""
    unit = bench.run(make_step(estimate_ms=20_000), node, rank=NORMAL)
    bench.workers[int(node[-1])].is_open = False
    return ordering.Demand(unit, NORMAL, 160.0, 200.0, 20.0, 0.0)


def _fill(bench, make_step, *nodes):
    for node in nodes:
        bench.run(make_step(estimate_ms=20_000), node, rank=NORMAL)


def test_unsaved_work_stays_while_no_other_worker_has_capacity(bench, make_step):
    evacuating = _drain(bench, make_step, "node-0")
    _fill(bench, make_step, "node-1", "node-2", "node-3")
    assert bench.plan(evacuating=[evacuating]).moves == ()


def test_unsaved_work_moves_at_once_when_another_worker_has_capacity(bench, make_step):
    evacuating = _drain(bench, make_step, "node-0")
    _fill(bench, make_step, "node-1", "node-2")
    assert bench.plan(evacuating=[evacuating]).moves == (evacuating,)


def test_waiting_and_moving_units_share_one_order(bench, make_step):
    evacuating = _drain(bench, make_step, "node-0")
    _fill(bench, make_step, "node-1", "node-2")
    waiting = bench.wait(make_step(estimate_ms=20_000), NORMAL, objective_s=150.0)
    plan = bench.plan(evacuating=[evacuating])
    assert [start.demand.unit for start in plan.starts] == [waiting]
    assert plan.moves == ()


def test_capacity_stays_reserved_for_a_moving_unit_until_it_has_stopped(bench, make_step):
    evacuating = _drain(bench, make_step, "node-0")
    _fill(bench, make_step, "node-1", "node-2")
    bench.wait(make_step(estimate_ms=20_000), NORMAL, objective_s=190.0)
    for now_s in (100.0, 100.3):
        plan = bench.plan(now_s, evacuating=[evacuating])
        assert plan.moves == (evacuating,)
        assert plan.starts == ()


def test_two_units_do_not_move_to_the_same_capacity(bench, make_step):
    first = _drain(bench, make_step, "node-0")
    second = attrs.evolve(_drain(bench, make_step, "node-1"), objective_s=170.0, worthless_s=210.0)
    _fill(bench, make_step, "node-2")
    assert bench.plan(evacuating=[second, first]).moves == (first,)
