"""Planning cost while a thousand equal tasks wait for a full fleet.

Seen on the simulated day booth-cloud-grown trouble-2.
"""

import attrs

from papayaspar_jobs import tasks
from papayaspar_scheduling import ordering, placement, planner, preemption

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


def test_only_workers_with_room_are_compared(cluster, make_step, monkeypatch):
    """A round for 160 workers took 70 ms: each placement compared all of them, full or not."""
    first = cluster.workers[0]
    cluster.workers[:] = [
        attrs.evolve(first, node=f"node-{number}", rack=f"r1-{number // 8}")
        for number in range(160)
    ]
    for number in range(2, 160):
        cluster.add_running_unit(make_step(), f"node-{number}", rank=BULK)
    for count in range(3, 53):
        cluster.add_waiting_unit(make_step(count, 4, is_gang=True), BULK)
    compared = []
    packing_key = placement._packing_key
    monkeypatch.setattr(
        placement,
        "_packing_key",
        lambda worker, *arguments: compared.append(worker.node) or packing_key(worker, *arguments),
    )
    plan = cluster.plan()
    assert [len(start.nodes) for start in plan.starts] == [3]
    assert len(compared) <= 2 * 50


def test_preemption_looks_again_only_at_workers_that_changed(cluster, make_step, monkeypatch):
    """Choosing victims for a gang of 12 examined each of 160 workers 12 times."""
    first = cluster.workers[0]
    cluster.workers[:] = [attrs.evolve(first, node=f"node-{number}") for number in range(160)]
    for number in range(160):
        cluster.add_running_unit(make_step(), f"node-{number}", rank=BULK)
    cluster.add_waiting_unit(make_step(12, is_gang=True), ordering.Rank.GUARANTEED)
    examined = []
    on_node = preemption.VictimIndex.on_node
    monkeypatch.setattr(
        preemption.VictimIndex,
        "on_node",
        lambda index, node: examined.append(node) or on_node(index, node),
    )
    assert len(cluster.plan().stops) == 12
    assert len(examined) <= 160 + 12


def test_starts_of_a_round_are_limited(cluster, make_step):
    """2,000 starts at once kept the lead busy until its leadership had expired."""
    for _ in range(100):
        cluster.add_waiting_unit(make_step(1, 0), BULK)
    assert len(cluster.plan(start_limit=planner.StartLimit(7)).starts) == 7


def test_small_job_starts_beside_one_that_fills_the_limit_of_each_round(cluster, make_step):
    """A job of one task waited for 20 s, until most of a job of 4,000 tasks was done."""
    large = cluster.add_waiting_unit(make_step(300, 0), BULK).job
    demand = cluster.waiting.pop()
    cluster.waiting = [attrs.evolve(demand, unit=unit) for unit in large.waiting_units(0.0)]
    small = cluster.add_waiting_unit(make_step(1, 0), BULK)
    plan = cluster.plan(start_limit=planner.StartLimit(20, 5))
    started = [start.demand.unit for start in plan.starts]
    assert sum(unit.job is large for unit in started) == 15
    assert small in started


def test_job_with_running_tasks_leaves_the_rest_of_the_limit_to_others(cluster, make_step):
    """In later rounds the large job took each start that became free."""
    large = cluster.add_waiting_unit(make_step(300, 0), BULK).job
    demand = cluster.waiting.pop()
    waiting = list(large.waiting_units(0.0))
    waiting[0].members[0].record = tasks.TaskRecord(tasks.TaskPhase.ASSIGNED, 1, "node-0")
    cluster.waiting = [attrs.evolve(demand, unit=unit) for unit in waiting[1:]]
    small = cluster.add_waiting_unit(make_step(1, 0), BULK)
    plan = cluster.plan(start_limit=planner.StartLimit(3, 5))
    assert [start.demand.unit for start in plan.starts] == [small]


def test_gang_larger_than_the_limit_starts_as_a_whole(cluster, make_step):
    cluster.add_waiting_unit(make_step(4, 8, is_gang=True), BULK)
    (start,) = cluster.plan(start_limit=planner.StartLimit(1)).starts
    assert len(start.nodes) == 4


def test_units_of_lower_rank_wait_for_the_next_round(cluster, make_step):
    first = cluster.add_waiting_unit(make_step(1, 0), ordering.Rank.URGENT)
    cluster.add_waiting_unit(make_step(1, 0), BULK)
    assert [
        start.demand.unit for start in cluster.plan(start_limit=planner.StartLimit(1)).starts
    ] == [first]
