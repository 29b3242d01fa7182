"""Planning while workers drain and the rest of the fleet is full of long work.

Guards against stops of unsaved work on draining workers while no other worker has capacity: 4,100
core-seconds were lost on the simulated day kowhai-spar scale-2.
"""

import attrs

from papayaspar_scheduling import ordering

NORMAL = ordering.Rank.NORMAL


def _drain(cluster, make_step, node):
    """Drain a worker, and return the demand of a unit on it that can't finish in time."""
    unit = cluster.add_running_unit(make_step(estimate_ms=20_000), node, rank=NORMAL)
    cluster.workers[int(node[-1])].is_open = False
    return ordering.Demand(unit, NORMAL, 160.0, 200.0, 20.0, 0.0)


def _fill(cluster, make_step, *nodes):
    for node in nodes:
        cluster.add_running_unit(make_step(estimate_ms=20_000), node, rank=NORMAL)


def test_unsaved_work_stays_while_no_other_worker_has_capacity(cluster, make_step):
    deferred = _drain(cluster, make_step, "node-0")
    _fill(cluster, make_step, "node-1", "node-2", "node-3")
    assert cluster.plan(deferred=[deferred]).moves == ()


def test_unsaved_work_moves_at_once_when_another_worker_has_capacity(cluster, make_step):
    deferred = _drain(cluster, make_step, "node-0")
    _fill(cluster, make_step, "node-1", "node-2")
    assert cluster.plan(deferred=[deferred]).moves == (deferred,)


def test_waiting_and_moving_units_are_sorted_together(cluster, make_step):
    deferred = _drain(cluster, make_step, "node-0")
    _fill(cluster, make_step, "node-1", "node-2")
    waiting = cluster.add_waiting_unit(make_step(estimate_ms=20_000), NORMAL, objective_s=150.0)
    plan = cluster.plan(deferred=[deferred])
    assert [start.demand.unit for start in plan.starts] == [waiting]
    assert plan.moves == ()


def test_capacity_stays_reserved_for_a_moving_unit_until_it_has_stopped(cluster, make_step):
    deferred = _drain(cluster, make_step, "node-0")
    _fill(cluster, make_step, "node-1", "node-2")
    cluster.add_waiting_unit(make_step(estimate_ms=20_000), NORMAL, objective_s=190.0)
    for now_s in (100.0, 100.3):
        plan = cluster.plan(now_s, deferred=[deferred])
        assert plan.moves == (deferred,)
        assert plan.starts == ()


def test_two_units_do_not_move_to_the_same_capacity(cluster, make_step):
    first = _drain(cluster, make_step, "node-0")
    second = attrs.evolve(
        _drain(cluster, make_step, "node-1"), objective_s=170.0, worthless_s=210.0
    )
    _fill(cluster, make_step, "node-2")
    assert cluster.plan(deferred=[second, first]).moves == (first,)


def _drain_urgent(cluster, make_step, rank):
    """Drain a worker on which urgent work runs, and return the demand of that work."""
    step = make_step(estimate_ms=20_000)
    unit = cluster.add_running_unit(step, "node-0", rank=rank, elapsed_s=1.0)
    cluster.workers[0].is_open = False
    return ordering.Demand(unit, rank, 125.0, 160.0, 20.0, 0.0)


# Urgent work whose worker leaves is stopped at once where it may take the place of others. It
# preempts them at the same time, so that it waits for the stops only once.
def test_urgent_work_moves_at_once_to_the_place_of_saved_work(cluster, make_step):
    deferred = _drain_urgent(cluster, make_step, ordering.Rank.URGENT)
    for node in ("node-1", "node-2", "node-3"):
        step = make_step(estimate_ms=60_000, is_checkpointed=True)
        cluster.add_running_unit(step, node, rank=NORMAL)
    plan = cluster.plan(deferred=[deferred])
    assert plan.moves == (deferred,)
    assert len(plan.stops) == 1


# Guards against urgent work that is stopped on a leaving worker and then waits: a gang threw away
# six seconds of work, and preempted dearer work for no gain.
def test_urgent_work_stays_where_no_preemption_is_justified(cluster, make_step):
    deferred = _drain_urgent(cluster, make_step, ordering.Rank.URGENT)
    _fill(cluster, make_step, "node-1", "node-2", "node-3")
    for victim in cluster.running:
        victim.unit.members[0].started_s -= 60.0
    cluster.update_costs()
    plan = cluster.plan(deferred=[deferred])
    assert plan.moves == ()
    assert plan.stops == ()


def test_guaranteed_work_moves_at_once_whatever_it_preempts(cluster, make_step):
    deferred = _drain_urgent(cluster, make_step, ordering.Rank.GUARANTEED)
    _fill(cluster, make_step, "node-1", "node-2", "node-3")
    plan = cluster.plan(deferred=[deferred])
    assert plan.moves == (deferred,)
    assert len(plan.stops) == 1
