"""Placement while workers fail whatever they start and say that they are healthy.

The load is a job of many equal tasks, as of overnight print sheets: each task that fails at once
frees its place for the next one.
"""

import pytest

from papayaspar_jobs import tasks
from papayaspar_scheduling import health, ordering

NORMAL = ordering.Rank.NORMAL


def _put_on_trial(cluster, node, trial=health.Trial.OPEN):
    for worker in cluster.workers:
        if worker.node == node:
            worker.trial = trial


def _nodes(plan):
    return [node for start in plan.starts for node in start.nodes]


def test_worker_on_trial_gets_one_unit_at_a_time(cluster, make_step):
    _put_on_trial(cluster, "node-0")
    for _ in range(4 * 8):
        cluster.add_waiting_unit(make_step(accelerators=1), NORMAL)
    nodes = _nodes(cluster.plan())
    assert nodes.count("node-0") == 1
    assert len(nodes) == 3 * 8 + 1


def test_worker_that_tries_a_unit_or_pauses_gets_no_other(cluster, make_step):
    _put_on_trial(cluster, "node-0", health.Trial.CLOSED)
    for _ in range(4 * 8):
        cluster.add_waiting_unit(make_step(accelerators=1), NORMAL)
    assert "node-0" not in _nodes(cluster.plan())


def test_unit_that_has_failed_waits_rather_than_trying_a_worker(cluster, make_step):
    for node in ("node-0", "node-1", "node-2"):
        cluster.add_running_unit(make_step(), node, rank=NORMAL)
    _put_on_trial(cluster, "node-3")
    for waited_s in (health.EJECTION_S - 0.1, health.EJECTION_S):
        unit = cluster.add_waiting_unit(make_step(accelerators=1), NORMAL, waited_s=waited_s)
        unit.members[0].record = tasks.TaskRecord(run=1, failures=1, failed_run=1)
    (start,) = cluster.plan().starts
    assert (start.demand.waited_s, start.nodes) == (health.EJECTION_S, ("node-3",))


def test_unit_that_has_failed_runs_where_starts_succeeded_last(cluster, make_step):
    for number, worker in enumerate(cluster.workers):
        worker.proven_s = {2: 90.0, 3: 50.0}.get(number, float("-inf"))
    unit = cluster.add_waiting_unit(make_step(accelerators=1), NORMAL)
    unit.members[0].record = tasks.TaskRecord(failures=1)
    assert _nodes(cluster.plan()) == ["node-2"]


def test_overload_is_no_reason_to_use_an_ejected_worker(cluster, make_step):
    for node in ("node-0", "node-1", "node-2"):
        cluster.add_running_unit(make_step(), node, rank=NORMAL)
    cluster.workers[3].is_trusted = False
    cluster.add_waiting_unit(make_step(), NORMAL, waited_s=60.0)
    assert cluster.plan().starts == ()


def test_ejected_worker_is_used_when_no_other_could_hold_the_unit(cluster, make_step):
    for worker in cluster.workers[:3]:
        worker.is_open = False
    cluster.workers[3].is_trusted = False
    cluster.add_waiting_unit(make_step(), NORMAL, waited_s=60.0)
    assert _nodes(cluster.plan()) == ["node-3"]


def _fail_run(unit, *nodes):
    """Let a run of a unit fail on the given VMs."""
    for member, node in zip(unit.members, nodes, strict=False):
        member.failed_nodes.add(node)
        unit.note_failed_node(1, node)
    unit.members[0].record = tasks.TaskRecord(run=1, failures=1, failed_run=1)


@pytest.mark.parametrize(
    ("attempts", "pause_s"), [(3, health.repeat_pause_s(1)), (2, health.EJECTION_S)]
)
def test_gang_that_failed_on_several_workers_runs_there_again_after_a_pause(
    cluster, make_step, attempts, pause_s
):
    gang = make_step(task_count=4, is_gang=True, estimate_ms=60_000)
    unit = cluster.add_waiting_unit(gang, NORMAL, waited_s=pause_s)
    unit.job.attempts = attempts
    _fail_run(unit, "node-0", "node-1")
    assert sorted(_nodes(cluster.plan())) == ["node-0", "node-1", "node-2", "node-3"]


# Guards against a job that is shown as failed although it could be done: its gang used up its
# attempts within seconds in which all workers failed what they started.
def test_last_attempt_of_a_gang_that_failed_on_several_workers_waits(cluster, make_step):
    gang = make_step(task_count=4, is_gang=True, estimate_ms=60_000)
    unit = cluster.add_waiting_unit(gang, NORMAL, waited_s=health.EJECTION_S - 0.1)
    unit.job.attempts = 2
    _fail_run(unit, "node-0", "node-1")
    assert cluster.plan().starts == ()


def test_gang_that_failed_on_several_workers_pauses_first(cluster, make_step):
    gang = make_step(task_count=4, is_gang=True)
    unit = cluster.add_waiting_unit(gang, NORMAL, waited_s=health.repeat_pause_s(1) / 2)
    _fail_run(unit, "node-0", "node-1")
    assert cluster.plan().starts == ()


def test_gang_that_failed_on_several_workers_prefers_others(cluster, make_step):
    gang = make_step(task_count=2, is_gang=True)
    unit = cluster.add_waiting_unit(gang, NORMAL, waited_s=60.0)
    _fail_run(unit, "node-0", "node-1")
    assert sorted(_nodes(cluster.plan())) == ["node-2", "node-3"]


def test_gang_that_failed_on_one_worker_waits_for_others(cluster, make_step):
    gang = make_step(task_count=4, is_gang=True)
    unit = cluster.add_waiting_unit(gang, NORMAL, waited_s=health.repeat_pause_s(1))
    _fail_run(unit, "node-0")
    assert cluster.plan().starts == ()


def _refuse_start(unit, *nodes):
    """Let the workers of the given VMs refuse the start of a unit."""
    unit.members[0].failed_nodes.update(nodes)
    unit.members[0].record = tasks.TaskRecord(run=1)


# Guards against a task that waits for its whole estimate beside the only worker that it may use,
# which refused one start and is well again.
def test_unit_whose_start_was_refused_by_its_only_worker_tries_it_again(cluster, make_step):
    cluster.workers[3].labels |= {"only"}
    step = make_step(required_label="only", estimate_ms=60_000)
    unit = cluster.add_waiting_unit(step, NORMAL, waited_s=health.repeat_pause_s(1))
    _refuse_start(unit, "node-3")
    assert _nodes(cluster.plan()) == ["node-3"]


def test_unit_whose_start_was_refused_waits_for_another_worker(cluster, make_step):
    for node in ("node-0", "node-1", "node-2"):
        cluster.add_running_unit(make_step(), node, rank=NORMAL)
    step, pause_s = make_step(estimate_ms=60_000), health.repeat_pause_s(1)
    for waited_s in (pause_s - 0.1, pause_s):
        _refuse_start(cluster.add_waiting_unit(step, NORMAL, waited_s=waited_s), "node-3")
    (start,) = cluster.plan().starts
    assert (start.demand.waited_s, start.nodes) == (pause_s, ("node-3",))


def test_unit_whose_start_was_refused_prefers_another_worker(cluster, make_step):
    unit = cluster.add_waiting_unit(make_step(estimate_ms=60_000), NORMAL, waited_s=5.0)
    _refuse_start(unit, "node-0", "node-1", "node-3")
    assert _nodes(cluster.plan()) == ["node-2"]


# Guards against a task that lasts and stays away for its whole estimate, after it has failed during
# its startup on each worker.
def test_lasting_task_that_failed_on_every_worker_is_restarted(cluster, make_step):
    step = make_step(is_lasting=True, estimate_ms=60_000)
    unit = cluster.add_waiting_unit(step, NORMAL, waited_s=health.REPEAT_PAUSE_MAX_S)
    unit.members[0].failed_nodes.update(worker.node for worker in cluster.workers)
    unit.members[0].record = tasks.TaskRecord(run=9, failures=9, failed_run=9)
    assert len(_nodes(cluster.plan())) == 1


def test_task_that_failed_on_its_only_worker_saves_its_attempts(cluster, make_step):
    cluster.workers[3].labels |= {"only"}
    step = make_step(required_label="only", estimate_ms=60_000)
    unit = cluster.add_waiting_unit(step, NORMAL, waited_s=5.0)
    unit.members[0].failed_nodes.add("node-3")
    unit.members[0].record = tasks.TaskRecord(run=1, failures=1, failed_run=1)
    assert cluster.plan().starts == ()
