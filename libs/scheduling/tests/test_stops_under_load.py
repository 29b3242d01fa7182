"""Which work is stopped, and which is not, in a burst of guaranteed jobs and a steady overload."""

import pytest

from papayaspar_jobs import tasks
from papayaspar_scheduling import ordering, planner, stops

NORMAL, BULK = ordering.Rank.NORMAL, ordering.Rank.BULK
URGENT, GUARANTEED = ordering.Rank.URGENT, ordering.Rank.GUARANTEED


def _nodes(plan):
    return sorted(task.record.node for victim, _ in plan.stops for task in victim.unit.members)


def _restart(cluster, victim, elapsed_s):
    """Let a preempted unit start again on its VMs, some time before the next round."""
    cluster.stopping.remove(victim)
    cluster.running.append(victim)
    for task in victim.unit.members:
        task.record = tasks.TaskRecord(tasks.TaskPhase.ASSIGNED, 2, task.record.node)
        task.mark_starting(100.0 - elapsed_s)
        task.mark_started(100.0 - elapsed_s)


# Burst of guaranteed jobs onto a full pool: each takes what costs least over the whole pool.
def test_burst_stops_the_work_that_has_done_least(cluster, make_step):
    for number, elapsed_s in enumerate((15.0, 9.0, 1.0, 2.0)):
        cluster.add_running_unit(
            make_step(estimate_ms=20_000), f"node-{number}", rank=BULK, elapsed_s=elapsed_s
        )
    for _ in range(2):
        cluster.add_waiting_unit(make_step(), GUARANTEED)
    assert _nodes(cluster.plan()) == ["node-2", "node-3"]


# Burst of guaranteed jobs: the rack that comes first is not the one where least is lost.
def test_gang_on_a_rack_stops_the_cheaper_rack(cluster, make_step):
    for number, elapsed_s in enumerate((9.0, 9.0, 1.0, 2.0)):
        cluster.add_running_unit(
            make_step(estimate_ms=20_000), f"node-{number}", rank=BULK, elapsed_s=elapsed_s
        )
    cluster.add_waiting_unit(make_step(2, is_gang=True, is_same_rack=True), GUARANTEED)
    assert _nodes(cluster.plan()) == ["node-2", "node-3"]


# Burst of guaranteed jobs: one gang that makes room for both members costs less than two tasks, of
# which each costs less than the gang.
def test_one_gang_is_stopped_rather_than_several_dearer_tasks(cluster, make_step):
    for node in ("node-0", "node-1"):
        cluster.add_running_unit(make_step(estimate_ms=20_000), node, rank=BULK, elapsed_s=8.0)
    gang = make_step(2, is_gang=True, estimate_ms=20_000)
    cluster.add_running_unit(gang, "node-2", "node-3", rank=BULK, elapsed_s=5.0)
    cluster.add_waiting_unit(make_step(2, is_gang=True), GUARANTEED)
    plan = cluster.plan()
    assert _nodes(plan) == ["node-2", "node-3"]
    assert len(plan.stops) == 1


# Burst of guaranteed jobs: a unit for whose room a gang makes up that was chosen after it runs on.
def test_unit_that_need_not_stop_runs_on(cluster, make_step):
    cluster.workers[:] = cluster.workers[:2]
    cluster.add_running_unit(make_step(1, 4), "node-0", rank=BULK, elapsed_s=1.0)
    gang = make_step(2, 4, is_gang=True)
    cluster.add_running_unit(gang, "node-0", "node-1", rank=BULK, elapsed_s=2.0)
    cluster.add_running_unit(make_step(1, 4), "node-1", rank=GUARANTEED)
    cluster.add_waiting_unit(make_step(2, 4, is_gang=True), GUARANTEED)
    plan = cluster.plan()
    assert [victim.unit.step for victim, _ in plan.stops] == [gang]


# Burst of guaranteed jobs: work of a higher rank that has just begun is stopped rather than work of
# a lower one that has run for long, but not if both have.
@pytest.mark.parametrize(("normal_s", "expected"), [(2.0, "node-0"), (10.0, "node-1")])
def test_rank_weighs_the_loss(cluster, make_step, normal_s, expected):
    cluster.workers[:] = cluster.workers[:2]
    step = make_step(estimate_ms=20_000)
    cluster.add_running_unit(step, "node-0", rank=NORMAL, elapsed_s=normal_s)
    cluster.add_running_unit(step, "node-1", rank=BULK, elapsed_s=12.0)
    cluster.add_waiting_unit(make_step(), GUARANTEED)
    assert _nodes(cluster.plan()) == [expected]


# Steady overload: a guaranteed job comes whenever the work that the one before has stopped has
# started again. Without a memory, the same youngest unit is stopped each time.
def test_unit_that_was_stopped_is_not_the_next_one(cluster, make_step):
    for number in range(4):
        cluster.add_running_unit(
            make_step(estimate_ms=20_000), f"node-{number}", rank=BULK, elapsed_s=5.0 + number
        )
    stopped = []
    for _ in range(3):
        cluster.add_waiting_unit(make_step(), GUARANTEED)
        ((victim, demand),) = cluster.plan().stops
        stopped.append(victim.unit)
        victim.unit.stops.count(victim.unit.members[0].record.run, victim.cost_core_s)
        cluster.waiting.remove(demand)
        cluster.unit_planner = planner.Planner()
        _restart(cluster, victim, elapsed_s=1.0)
        cluster.update_costs()
    assert stopped[0] is not stopped[1]
    assert stopped[1] is not stopped[2]


# Steady overload: a guaranteed job that was lost with its worker, and can't end any more before it
# is worthless, stops nothing.
def test_guaranteed_work_that_has_begun_and_is_worthless_stops_nothing(cluster, make_step):
    cluster.add_running_unit(make_step(), "node-0", rank=BULK)
    cluster.workers[:] = cluster.workers[:1]
    unit = cluster.add_waiting_unit(
        make_step(), GUARANTEED, objective_s=90.0, worthless_after_s=10.0
    )
    unit.members[0].record = tasks.TaskRecord(run=1)
    assert cluster.plan().stops == ()


# A guarantee promises a start, also to a job that comes late to its first one.
def test_guaranteed_work_that_has_not_begun_stops_others_however_late(cluster, make_step):
    cluster.add_running_unit(make_step(), "node-0", rank=BULK)
    cluster.workers[:] = cluster.workers[:1]
    cluster.add_waiting_unit(make_step(), GUARANTEED, objective_s=90.0, worthless_after_s=10.0)
    assert len(cluster.plan().stops) == 1


# Steady overload: urgent work that ends in time after the running work gains nothing by a stop.
@pytest.mark.parametrize(("objective_s", "stop_count"), [(112.0, 0), (107.0, 1)])
def test_urgent_work_waits_where_it_is_in_time_all_the_same(
    cluster, make_step, objective_s, stop_count
):
    cluster.workers[:] = cluster.workers[:1]
    cluster.add_running_unit(make_step(estimate_ms=5000), "node-0", rank=BULK, elapsed_s=1.5)
    cluster.add_waiting_unit(make_step(estimate_ms=5000), URGENT, objective_s=objective_s)
    assert len(cluster.plan().stops) == stop_count


# Tasks with a long tail: a run that should have ended long ago promises no room.
def test_urgent_work_does_not_wait_for_a_run_that_is_overdue(cluster, make_step):
    cluster.workers[:] = cluster.workers[:1]
    cluster.add_running_unit(make_step(estimate_ms=1000), "node-0", rank=BULK, elapsed_s=2.0)
    cluster.add_waiting_unit(make_step(estimate_ms=5000), URGENT, objective_s=112.0)
    assert len(cluster.plan().stops) == 1


def test_stops_name_their_beneficiary_and_its_gain_once(cluster, make_step):
    for number in range(4):
        cluster.add_running_unit(make_step(estimate_ms=60_000), f"node-{number}", rank=BULK)
    cluster.add_waiting_unit(make_step(2, is_gang=True), GUARANTEED)
    plan = cluster.plan()
    purposes = [planner.stop_purpose(plan, victim, demand) for victim, demand in plan.stops]
    (demand,) = cluster.waiting
    assert {purpose.cause for purpose in purposes} == {stops.Cause.RECLAIM}
    assert {purpose.job_id for purpose in purposes} == {demand.unit.job.spec.job_id}
    gain_core_s = sum(purpose.gain_core_s for purpose in purposes)
    assert gain_core_s == pytest.approx(2 * 5.0 * (7.5 + 64.0))


# Burst of urgent jobs: a job that comes before another in the order took the room that was made for
# it as soon as the stops ended, and the stops for the other one were repeated on other workers.
def test_room_goes_to_the_job_for_which_it_was_made(cluster, make_step):
    for number in range(4):
        cluster.add_running_unit(
            make_step(estimate_ms=60_000, is_checkpointed=True), f"node-{number}", rank=BULK
        )
    first = cluster.add_waiting_unit(make_step(2, is_gang=True), URGENT, objective_s=112.0)
    stopped = [victim for victim, _ in cluster.plan().stops]
    assert len(stopped) == 2
    for victim in stopped:
        cluster.stopping.remove(victim)
        victim.unit.members[0].record = tasks.TaskRecord()
        victim.unit.members[0].is_stopping = False
    cluster.add_waiting_unit(make_step(2, is_gang=True), URGENT, objective_s=108.0)
    plan = cluster.plan(100.3)
    assert [start.demand.unit for start in plan.starts] == [first]


def test_room_that_was_made_for_urgent_work_goes_to_guaranteed_work_first(cluster, make_step):
    cluster.workers[:] = cluster.workers[:1]
    step = make_step(estimate_ms=60_000, is_checkpointed=True)
    cluster.add_running_unit(step, "node-0", rank=BULK)
    cluster.add_waiting_unit(make_step(), URGENT)
    ((victim, _),) = cluster.plan().stops
    cluster.stopping.remove(victim)
    victim.unit.members[0].record = tasks.TaskRecord()
    victim.unit.members[0].is_stopping = False
    guaranteed = cluster.add_waiting_unit(make_step(), GUARANTEED)
    assert [start.demand.unit for start in cluster.plan(100.3).starts] == [guaranteed]


# Steady overload: long urgent work that is late either way threw away a hundred seconds of several
# jobs, since a tenth of its own work is much.
@pytest.mark.parametrize(("is_checkpointed", "stop_count"), [(False, 0), (True, 1)])
def test_late_long_work_stops_only_saved_work(cluster, make_step, is_checkpointed, stop_count):
    cluster.workers[:] = cluster.workers[:1]
    step = make_step(estimate_ms=20_000, is_checkpointed=is_checkpointed)
    cluster.add_running_unit(step, "node-0", rank=BULK, elapsed_s=5.0)
    cluster.add_waiting_unit(
        make_step(estimate_ms=66_000), URGENT, objective_s=150.0, worthless_after_s=100.0
    )
    assert len(cluster.plan().stops) == stop_count
