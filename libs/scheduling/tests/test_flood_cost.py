"""Load: a flood of a thousand equal tasks waits for a full fleet (booth-cloud-grown trouble-2)."""

from papayaspar_scheduling import ordering, placement, planner

BULK = ordering.Rank.BULK


class CountingPlacement(placement.PackedPlacement):
    """Counts how often it is asked."""

    def __init__(self):
        self.asked = 0

    def choose(self, demand, free, reach):
        self.asked += 1
        return super().choose(demand, free, reach)


def test_equal_tasks_that_find_no_place_are_looked_at_once(bench, make_step):
    """The lead of the grown site spent a whole core on plans of half a second."""
    for number in range(4):
        bench.run(make_step(), f"node-{number}", rank=BULK)
    for _ in range(1000):
        bench.wait(make_step(1, 1), BULK)
    counting = CountingPlacement()
    bench.plans = planner.Planner(places=counting)
    assert bench.plan().starts == ()
    assert counting.asked <= 4


def test_another_kind_of_task_is_still_placed(bench, make_step):
    for number in range(4):
        bench.run(make_step(1, 7), f"node-{number}", rank=BULK)
    bench.wait(make_step(1, 8), BULK)
    small = bench.wait(make_step(1, 1), BULK)
    assert [start.demand.unit for start in bench.plan().starts] == [small]


def test_room_given_back_is_looked_at_again(bench, make_step):
    bench.workers[:] = bench.workers[:1]
    bench.run(make_step(estimate_ms=20_000, is_checkpointed=True), "node-0", rank=BULK)
    bench.wait(make_step(1, 8), ordering.Rank.GUARANTEED)
    plan = bench.plan()
    assert len(plan.stops) == 1
