"""Preemption and placement when urgent gangs arrive at a fleet full of long work."""

from papayaspar_jobs import tasks
from papayaspar_scheduling import evictions, ordering

NORMAL, BULK = ordering.Rank.NORMAL, ordering.Rank.BULK
URGENT, GUARANTEED = ordering.Rank.URGENT, ordering.Rank.GUARANTEED


def _fill(bench, make_step, rank, for_s, **changes):
    return [
        bench.run(
            make_step(estimate_ms=20_000, **changes), f"node-{number}", rank=rank, for_s=for_s
        )
        for number in range(4)
    ]


def test_guaranteed_gang_preempts_whole_workers_at_any_cost(bench, make_step):
    _fill(bench, make_step, NORMAL, 15.0)
    bench.wait(make_step(2, is_gang=True, is_same_rack=True), GUARANTEED)
    plan = bench.plan()
    nodes = {victim.unit.members[0].record.node for victim, _ in plan.stops}
    assert nodes in ({"node-0", "node-1"}, {"node-2", "node-3"})


def test_urgent_work_beyond_the_guarantee_preempts_no_large_work(bench, make_step):
    """2,800 core-seconds were lost for one job beyond a guarantee (seen on booth-cloud scale-2)."""
    _fill(bench, make_step, NORMAL, 15.0)
    bench.wait(make_step(1, is_gang=True), URGENT)
    assert bench.plan().stops == ()


def test_urgent_work_beyond_the_guarantee_stops_checkpointed_work(bench, make_step):
    _fill(bench, make_step, BULK, 15.0, is_checkpointed=True)
    bench.wait(make_step(1, is_gang=True), URGENT)
    assert len(bench.plan().stops) == 1


def test_work_with_the_lowest_cost_is_preempted(bench, make_step):
    for number, for_s in enumerate((15.0, 9.0, 1.0, 12.0)):
        bench.run(make_step(estimate_ms=20_000), f"node-{number}", rank=NORMAL, for_s=for_s)
    bench.wait(make_step(1, is_gang=True), GUARANTEED)
    nodes = [victim.unit.members[0].record.node for victim, _ in bench.plan().stops]
    assert nodes == ["node-2"]


def test_capacity_of_stopping_work_is_awaited_before_more_is_preempted(bench, make_step):
    units = _fill(bench, make_step, NORMAL, 15.0)
    units[1].members[0].is_stopping = True
    bench.wait(make_step(1, is_gang=True), GUARANTEED)
    plan = bench.plan()
    assert plan.stops == ()
    assert plan.starts == ()


def test_reserved_capacity_is_not_assigned_to_work_of_lower_rank(bench, make_step):
    units = _fill(bench, make_step, NORMAL, 15.0)
    units[1].members[0].is_stopping = True
    bench.wait(make_step(1, is_gang=True), GUARANTEED)
    bench.wait(make_step(1, 1), BULK)
    assert bench.plan().starts == ()


def test_guaranteed_work_never_preempts_guaranteed_work(bench, make_step):
    _fill(bench, make_step, GUARANTEED, 1.0)
    bench.wait(make_step(1, is_gang=True), GUARANTEED)
    assert bench.plan().stops == ()


def test_small_tasks_leave_whole_workers_free(bench, make_step):
    bench.run(make_step(1, 1), "node-2", rank=BULK)
    for _ in range(3):
        bench.wait(make_step(1, 1), BULK)
    nodes = {node for start in bench.plan().starts for node in start.nodes}
    assert nodes == {"node-2"}


def test_preemption_in_progress_is_kept_while_its_worker_is_silent(bench, make_step):
    """Each unanswered poll of a worker preempted other units for the same gang.

    Seen on kowhai-spar scale-2, with a burst of checks while a twentieth of the orders got no
    answer: 24 tasks were stopped for one gang of three, eight for each unanswered poll.
    """
    _fill(bench, make_step, BULK, 5.0, is_checkpointed=True)
    bench.wait(make_step(1, is_gang=True), URGENT)
    first = bench.plan()
    (victim, _) = first.stops[0]
    node = victim.unit.members[0].record.node
    next(worker for worker in bench.workers if worker.node == node).is_open = False
    assert bench.plan(100.3).stops == ()
    assert len(bench.plan(100.0 + evictions.STOP_TIMEOUT_S).stops) == 1


def test_reserved_capacity_is_not_assigned_to_the_preempted_work(bench, make_step):
    units = _fill(bench, make_step, BULK, 5.0, is_checkpointed=True)
    bench.wait(make_step(2, is_gang=True), URGENT)
    stopped = [victim for victim, _ in bench.plan().stops]
    assert len(stopped) == 2
    ended = stopped[0]
    bench.stopping.remove(ended)
    ended.unit.members[0].record = tasks.TaskRecord()
    ended.unit.members[0].is_stopping = False
    bench.wait(units[0].step, BULK)
    assert bench.plan(100.3).starts == ()


def test_urgent_work_that_is_late_anyway_destroys_no_work(bench, make_step):
    """The backlog after a power loss of all VMs stopped 20 tasks (seen on kowhai-spar scale-2)."""
    _fill(bench, make_step, BULK, 2.0)
    bench.wait(make_step(1, is_gang=True), URGENT, objective_s=103.0)
    assert bench.plan().stops == ()


def test_urgent_work_that_is_about_to_be_worthless_preempts(bench, make_step):
    _fill(bench, make_step, BULK, 2.0)
    bench.wait(make_step(1, is_gang=True), URGENT, objective_s=103.0, worthless_after_s=4.0)
    assert len(bench.plan().stops) == 1


def test_worthless_urgent_work_destroys_no_work(bench, make_step):
    _fill(bench, make_step, BULK, 2.0)
    bench.wait(make_step(1, is_gang=True), URGENT, objective_s=90.0, worthless_after_s=10.0)
    assert bench.plan().stops == ()


def test_urgent_work_avoids_a_slow_worker(bench, make_step):
    """Guards placement while a fifth of the workers take six times as long (srv_slow)."""
    bench.workers[0].slowness = 6.5
    bench.wait(make_step(3, 8, is_gang=True), URGENT)
    (start,) = bench.plan().starts
    assert "node-0" not in start.nodes


def test_urgent_work_that_is_late_stops_checkpointed_work(bench, make_step):
    _fill(bench, make_step, BULK, 15.0, is_checkpointed=True)
    bench.wait(make_step(1, is_gang=True), URGENT, objective_s=103.0)
    assert len(bench.plan().stops) == 1
