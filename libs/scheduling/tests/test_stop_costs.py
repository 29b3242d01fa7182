"""The cost of a stop, and what a stop gains."""

import pytest

from papayaspar_jobs import durations
from papayaspar_scheduling import ordering, stop_costs

NORMAL, GUARANTEED = ordering.Rank.NORMAL, ordering.Rank.GUARANTEED
# Tasks of the fixtures have 7.5 cores and 8 accelerators.
CORES = 7.5 + 8 * stop_costs.CORES_PER_ACCELERATOR
RESTART_CORE_S = stop_costs.RESTART_S * CORES
ESTIMATES = durations.DeclaredDurations()
NOW_S = 100.0


# Guards against gangs that look as cheap as 4 core-seconds a member, whatever they run on.
def test_gang_costs_the_work_of_all_members(cluster, make_step):
    unit = cluster.add_running_unit(
        make_step(2, is_gang=True), "node-0", "node-1", rank=NORMAL, elapsed_s=10.0
    )
    cost = stop_costs.stop_cost(unit, NOW_S)
    assert cost.unsaved_core_s == pytest.approx(2 * 10.0 * CORES)
    assert cost.restart_core_s == pytest.approx(2 * RESTART_CORE_S)


# Guards against a time in which members wait for the last one and which costs nothing.
def test_waiting_time_of_gang_members_is_lost(cluster, make_step):
    unit = cluster.add_running_unit(
        make_step(2, is_gang=True), "node-0", "node-1", rank=NORMAL, elapsed_s=3.0
    )
    unit.members[1].started_s = NOW_S - 1.0
    cost = stop_costs.stop_cost(unit, NOW_S)
    assert cost.unsaved_core_s == pytest.approx((3.0 + 1.0) * CORES)


def test_stop_of_a_checkpointed_task_costs_its_restart(cluster, make_step):
    unit = cluster.add_running_unit(
        make_step(is_checkpointed=True), "node-0", rank=NORMAL, elapsed_s=10.0
    )
    assert stop_costs.lost_core_s(unit, NOW_S) == pytest.approx(RESTART_CORE_S)


# A member that ends since another was stopped saves nothing.
def test_checkpointed_gang_costs_the_work_since_its_newest_checkpoint(cluster, make_step):
    step = make_step(2, is_gang=True, is_checkpointed=True)
    unit = cluster.add_running_unit(step, "node-0", "node-1", rank=NORMAL, elapsed_s=10.0)
    unit.members[0].update_checkpoint("a", NOW_S - 2.0)
    unit.members[1].update_checkpoint("b", NOW_S - 0.5)
    cost = stop_costs.stop_cost(unit, NOW_S)
    assert cost.unsaved_core_s == pytest.approx(2 * 0.5 * CORES)


# A new lead knows no checkpoint times; the time of the clock is no age of a checkpoint.
def test_gang_that_was_taken_over_costs_no_more_than_since_then(cluster, make_step):
    step = make_step(2, is_gang=True, is_checkpointed=True)
    unit = cluster.add_running_unit(step, "node-0", "node-1", rank=NORMAL)
    for task in unit.members:
        task.mark_taken_over(NOW_S - 1.0)
    assert stop_costs.stop_cost(unit, NOW_S).unsaved_core_s == pytest.approx(2 * CORES)


def test_stop_is_counted_once_for_a_run(cluster, make_step):
    unit = cluster.add_running_unit(make_step(), "node-0", rank=NORMAL)
    assert unit.stops.count(1, 50.0)
    assert not unit.stops.count(1, 50.0)
    assert stop_costs.stop_cost(unit, NOW_S).repeated_core_s == 50.0


@pytest.mark.parametrize(
    ("objective_s", "starts_in_s", "share"),
    [
        # In time either way: the stop gains nothing.
        (130.0, 10.0, 0.0),
        # In time only with the stop.
        (110.0, 10.0, 1.0 - stop_costs.LATE_VALUE_SHARE),
        # It would never start by itself.
        (110.0, float("inf"), 1.0),
        # Late either way.
        (104.0, 10.0, 0.0),
        (104.0, 60.0, stop_costs.LATE_VALUE_SHARE),
    ],
)
def test_gain_is_the_work_that_ends_in_time_by_the_stop(
    cluster, make_step, objective_s, starts_in_s, share
):
    cluster.add_waiting_unit(make_step(2, is_gang=True), GUARANTEED, objective_s=objective_s)
    (demand,) = cluster.waiting
    gain_core_s = stop_costs.gain_core_s(demand, NOW_S, starts_in_s, ESTIMATES)
    assert gain_core_s == pytest.approx(share * 2 * 5.0 * CORES)
