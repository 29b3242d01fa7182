"""Load: workers are replaced while the rest of the fleet is full of long work.

Seen on kowhai-spar scale-2: 4,100 core-seconds of unsaved work were stopped on draining workers,
for room that nobody had.
"""

import attrs

from papayaspar_scheduling import ordering

NORMAL = ordering.Rank.NORMAL


def _leave(bench, make_step, node):
    """Close a worker and return the demand of what runs there and can't end in time."""
    unit = bench.run(make_step(estimate_ms=20_000), node, rank=NORMAL)
    bench.workers[int(node[-1])].is_open = False
    return ordering.Demand(unit, NORMAL, 160.0, 200.0, 20.0, 0.0)


def _fill(bench, make_step, *nodes):
    for node in nodes:
        bench.run(make_step(estimate_ms=20_000), node, rank=NORMAL)


def test_unsaved_work_stays_while_there_is_no_room_elsewhere(bench, make_step):
    leaving = _leave(bench, make_step, "node-0")
    _fill(bench, make_step, "node-1", "node-2", "node-3")
    assert bench.plan(leaving=[leaving]).moves == ()


def test_unsaved_work_moves_at_once_when_there_is_room(bench, make_step):
    leaving = _leave(bench, make_step, "node-0")
    _fill(bench, make_step, "node-1", "node-2")
    assert bench.plan(leaving=[leaving]).moves == (leaving,)


def test_room_goes_by_the_order_of_work_whether_it_waits_or_would_move(bench, make_step):
    leaving = _leave(bench, make_step, "node-0")
    _fill(bench, make_step, "node-1", "node-2")
    waiting = bench.wait(make_step(estimate_ms=20_000), NORMAL, objective_s=150.0)
    plan = bench.plan(leaving=[leaving])
    assert [start.demand.unit for start in plan.starts] == [waiting]
    assert plan.moves == ()


def test_room_is_held_for_what_moves_until_it_has_stopped(bench, make_step):
    leaving = _leave(bench, make_step, "node-0")
    _fill(bench, make_step, "node-1", "node-2")
    bench.wait(make_step(estimate_ms=20_000), NORMAL, objective_s=190.0)
    for now_s in (100.0, 100.3):
        plan = bench.plan(now_s, leaving=[leaving])
        assert plan.moves == (leaving,)
        assert plan.starts == ()


def test_two_units_do_not_move_to_the_same_room(bench, make_step):
    first = _leave(bench, make_step, "node-0")
    second = attrs.evolve(_leave(bench, make_step, "node-1"), objective_s=170.0, lost_s=210.0)
    _fill(bench, make_step, "node-2")
    assert bench.plan(leaving=[second, first]).moves == (first,)
