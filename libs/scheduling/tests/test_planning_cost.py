"""Planning cost while a thousand equal tasks wait for a full fleet.

Seen on booth-cloud-grown trouble-2.
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


def test_equal_tasks_that_do_not_fit_are_tried_once(bench, make_step):
    """Each planning round took the lead half a second and thereby used a whole core."""
    for number in range(4):
        bench.run(make_step(), f"node-{number}", rank=BULK)
    for _ in range(1000):
        bench.wait(make_step(1, 1), BULK)
    counting = CountingPlacement()
    bench.plans = planner.Planner(placement_policy=counting)
    assert bench.plan().starts == ()
    assert counting.calls <= 4


def test_another_kind_of_task_is_still_placed(bench, make_step):
    for number in range(4):
        bench.run(make_step(1, 7), f"node-{number}", rank=BULK)
    bench.wait(make_step(1, 8), BULK)
    small = bench.wait(make_step(1, 1), BULK)
    assert [start.demand.unit for start in bench.plan().starts] == [small]


def test_released_capacity_is_tried_again(bench, make_step):
    bench.workers[:] = bench.workers[:1]
    bench.run(make_step(estimate_ms=20_000, is_checkpointed=True), "node-0", rank=BULK)
    bench.wait(make_step(1, 8), ordering.Rank.GUARANTEED)
    plan = bench.plan()
    assert len(plan.stops) == 1
