"""What the end and the progress of a run say about its workers, and what is restored of it."""

import msgpack
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, registries, specs, tasks
from papayaspar_lead import planning_inputs, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_scheduling import health
from papayaspar_store import records, stores

MEMBER = specs.Resources(1000, 100, 4)
JOB_ID = "0" * 16
NODES = ("node-0", "node-1")
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 0, 2, 1.5, 250)
FAILED, DONE = tasks.EndKind.FAILED, tasks.EndKind.DONE


def _registry(*steps, **changes):
    registry = registries.JobRegistry()
    registry.accept(specs.JobSpec(JOB_ID, "checks", "team", "", steps, **changes), QUEUE, 0)
    return registry


def _workload(*steps, **changes):
    hybrid_clock = causality.HybridClock(clock.BootClock())
    work = workload.Workload(journal.Journal("entry", "dc", hybrid_clock, metrics.Metrics()))
    work.sync(_registry(*steps, **changes), 100.0)
    return work


def _gang(count=2):
    return specs.Step(count, MEMBER, 5000, is_gang=True)


def _assign(work, nodes, now_s, is_started=True):
    (demand,) = planning_inputs.PlanningInputs(work).demands(now_s, 1e15)
    work.assign(demand.unit, nodes, {node: tasks.Incarnation(node, 1) for node in nodes}, now_s)
    if is_started:
        for task in demand.unit.members:
            task.mark_started(now_s)
    return demand.unit


def _end(work, node, index, run, kind, now_s, number=1):
    key = tasks.TaskKey(JOB_ID, 0, 0, index)
    work.apply_end(node, workers.RunResult(number, key, run, kind), now_s)


def _progress(work):
    (active,) = work.jobs()
    return active.progress


# Guards against workers that stay on trial although a run of a gang has succeeded on them: only the
# worker whose end is read first is credited.
def test_success_of_a_gang_is_credited_to_the_worker_of_each_member():
    work = _workload(_gang())
    for node in NODES:
        work.outcomes(node).record_failure("other", 90.0)
    _assign(work, NODES, 100.0)
    _end(work, "node-0", 0, 1, DONE, 105.0)
    _end(work, "node-1", 1, 1, DONE, 105.0)
    trials = [work.outcomes(node).trial(106.0, 100.0) for node in NODES]
    assert trials == [health.Trial.NONE, health.Trial.NONE]


# Guards against a worker that is ejected since two jobs failed on it, although a gang succeeded on
# it between the two.
def test_success_of_a_gang_lies_between_two_failures_of_each_worker():
    work = _workload(_gang())
    for node in NODES:
        work.outcomes(node).record_failure("first", 90.0, 80.0, had_progress=True)
    _assign(work, NODES, 100.0)
    _end(work, "node-0", 0, 1, DONE, 105.0)
    _end(work, "node-1", 1, 1, DONE, 105.0)
    ejected = [work.outcomes(node).record_failure("second", 110.0, 108.0, True) for node in NODES]
    assert ejected == [False, False]


# Guards against a worker that goes on trial, and is barred for the gang, since the reports of its
# member came later than those of another member of the same run.
def test_progress_of_a_run_of_a_gang_counts_for_all_its_members():
    work = _workload(_gang())
    unit = _assign(work, NODES, 100.0)
    report = workers.RunStatus(unit.members[0].key, 1, percent=50.0)
    work.apply_progress(unit.members[0], report, 103.0)
    _end(work, "node-0", 0, 1, FAILED, 103.1)
    _end(work, "node-1", 1, 1, FAILED, 103.1)
    assert unit.failed_nodes == frozenset()


# Guards against workers that are barred for a unit, and go on trial, since its run was started by a
# former lead, although this lead has seen it make progress for seconds.
def test_progress_of_a_run_that_was_taken_over_counts():
    work = _workload(specs.Step(1, MEMBER, 10_000))
    key = tasks.TaskKey(JOB_ID, 0, 0, 0)
    incarnation = tasks.Incarnation("node-0", 1)
    record = tasks.TaskRecord(tasks.TaskPhase.ASSIGNED, 1, "node-0", incarnation)
    work.restore(key, record, 100.0)
    task = work.find_task(key)
    for percent, now_s in ((40.0, 100.5), (50.0, 101.5), (60.0, 102.5)):
        work.apply_progress(task, workers.RunStatus(key, 1, percent=percent), now_s)
    _end(work, "node-0", 0, 1, FAILED, 102.6)
    assert task.failed_nodes == set()


# Guards against a job that is shown as failed with attempts left, since a former version stored the
# failure of one member of a run and this one is told of another.
def test_failure_stored_by_a_former_version_counts_once():
    work = _workload(_gang())
    for index, phase in enumerate((tasks.TaskPhase.WAITING, tasks.TaskPhase.ASSIGNED)):
        former = {"phase": phase.value, "run": 1, "node": NODES[index], "failures": 1 - index}
        stored = stores.KeyedRecord("task/", msgpack.packb(former))
        key = tasks.TaskKey(JOB_ID, 0, 0, index)
        work.restore(key, records.decode(stored, tasks.TaskRecord), 100.0)
    _end(work, "node-1", 1, 1, FAILED, 101.0)
    assert not _progress(work).has_failed


# Guards against a gang that has more attempts than its queue allows, since the record of the member
# whose failure was counted is damaged.
def test_each_member_of_the_next_run_has_the_count_in_its_record():
    work = _workload(_gang())
    _assign(work, NODES, 100.0)
    for index, node in enumerate(NODES):
        _end(work, node, index, 1, tasks.EndKind.BROKEN if index else FAILED, 101.0)
    unit = _assign(work, NODES, 120.0)
    restored = _workload(_gang())
    restored.restore(unit.members[1].key, unit.members[1].record, 130.0)
    assert restored.find_task(unit.members[0].key).unit.failures == 1


# Guards against a task that is started for ever, since a record of another writer says that a run
# far ahead was counted.
def test_counted_run_of_a_record_is_not_above_its_run():
    work = _workload(specs.Step(1, MEMBER, 1000))
    key = tasks.TaskKey(JOB_ID, 0, 0, 0)
    odd = msgpack.packb({"run": 1, "failures": 1, "failed_run": 10**9})
    work.restore(key, records.decode(stores.KeyedRecord("task/", odd), tasks.TaskRecord), 100.0)
    _assign(work, ("node-0",), 100.0)
    _end(work, "node-0", 0, 2, FAILED, 101.0)
    assert _progress(work).has_failed


# Guards against a stall timeout that grows with assignments that never started.
def test_refused_starts_do_not_lengthen_the_stall_timeout():
    work = _workload(specs.Step(1, MEMBER, 1000, is_checkpointed=True))
    for attempt in range(9):
        unit = _assign(work, ("node-0",), 100.0 + attempt, is_started=False)
        unit.members[0].is_starting = False
        work.release(unit.members[0], "refused: room")
    unit = _assign(work, ("node-0",), 110.0)
    assert work.stalled_units(116.1) == [unit]


STALLED_NODES = ("node-1", "node-2", "node-3")


# Guards against a gang that ejects the workers of all its members: they work only together, so that
# one worker that stalls holds up the others.
@pytest.mark.anyio
async def test_stalled_gang_does_not_eject_the_workers_of_all_its_members(start_cluster, make_job):
    whole = specs.Resources(1000, 100, 8)
    async with start_cluster() as cluster:
        entry = await cluster.add_entry("entry-1")
        for node in STALLED_NODES:
            agent = await cluster.add_agent(node)
            agent.worker.run_time_s = 600.0
        cluster.submit(make_job(1, specs.Step(3, whole, 30_000, is_gang=True)))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == len(STALLED_NODES))
        await cluster.wait_until(
            lambda: not any(cluster.run_recorder.running.values()), timeout_s=15.0
        )
        work = entry.election.scheduler._state.work
        now_s = cluster.clock.now_s()
        ejected = [node for node in STALLED_NODES if work.outcomes(node).is_ejected(now_s)]
        assert len(ejected) < len(STALLED_NODES)
