"""Planning cost while a thousand equal tasks wait for a full fleet.

Seen on the simulated day booth-cloud-grown trouble-2.
"""

from papayaspar_scheduling import ordering, placement, planner

BULK = ordering.Rank.BULK


class CountingPlacement(placement.PackedPlacement):
    """Count the calls of ``choose``."""

    def __init__(self):
        self.calls = 0

    def choose(self, demand, free, scope):
        self.calls += 1
        return super().choose(demand, free, scope)


def test_placement_is_attempted_once_for_equal_tasks_that_do_not_fit(cluster, make_step):
    """Each planning round took half a second, so that planning used a whole core of the lead."""
    for number in range(4):
        cluster.add_running_unit(make_step(), f"node-{number}", rank=BULK)
    for _ in range(1000):
        cluster.add_waiting_unit(make_step(1, 1), BULK)
    placement_policy = CountingPlacement()
    cluster.unit_planner = planner.Planner(placement_policy=placement_policy)
    assert cluster.plan().starts == ()
    assert placement_policy.calls <= 4


def test_smaller_task_is_placed_although_a_larger_one_does_not_fit(cluster, make_step):
    for number in range(4):
        cluster.add_running_unit(make_step(1, 7), f"node-{number}", rank=BULK)
    cluster.add_waiting_unit(make_step(1, 8), BULK)
    small = cluster.add_waiting_unit(make_step(1, 1), BULK)
    assert [start.demand.unit for start in cluster.plan().starts] == [small]


def test_placement_is_attempted_again_after_a_preemption(cluster, make_step):
    cluster.workers[:] = cluster.workers[:1]
    cluster.add_running_unit(
        make_step(estimate_ms=20_000, is_checkpointed=True), "node-0", rank=BULK
    )
    cluster.add_waiting_unit(make_step(1, 8), ordering.Rank.GUARANTEED)
    plan = cluster.plan()
    assert len(plan.stops) == 1
