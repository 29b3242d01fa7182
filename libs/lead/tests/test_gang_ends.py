"""Capacity of a gang whose members end one after another, because one of them failed.

Small tasks took the places of the members that had ended first; the gang then preempted them, which
took 0.9 s, and was late.
"""

import attrs
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, registries, specs, tasks
from papayaspar_lead import planning_inputs, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_scheduling import fleet

CAPACITY = specs.Resources(8000, 8000, 8)
STEP = specs.Step(2, CAPACITY, 5000, is_gang=True)
JOB_ID = "0" * 16
NODES = ("node-0", "node-1")
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 0, 3, 1.5, 250)


@pytest.fixture
def work():
    """Return a workload with a gang that runs on two workers."""
    hybrid_clock = causality.HybridClock(clock.BootClock())
    work = workload.Workload(journal.Journal("entry", "dc", hybrid_clock, metrics.Metrics()))
    registry = registries.JobRegistry()
    registry.accept(specs.JobSpec(JOB_ID, "checks", "team", "", (STEP,)), QUEUE, 0)
    work.sync(registry, 100.0)
    (demand,) = planning_inputs.PlanningInputs(work).demands(100.0, 0.0)
    work.assign(demand.unit, NODES, {node: tasks.Incarnation(node, 1) for node in NODES}, 100.0)
    for task in demand.unit.members:
        task.mark_started(100.0)
    return work


def _free_accelerators(work, now_s):
    pool = [fleet.Worker(node, "pool", capacity=CAPACITY, is_open=True) for node in NODES]
    free = planning_inputs.PlanningInputs(work).free_capacity(
        pool, [], now_s, is_stopping_counted=True
    )
    return [free.free(node).accelerators for node in NODES]


def _end_first_member(work, kind):
    result = workers.RunResult(1, tasks.TaskKey(JOB_ID, 0, 0, 0), 1, kind)
    work.apply_end("node-0", result, 103.0)


def test_place_of_a_failed_member_is_kept_until_the_others_have_ended(work):
    _end_first_member(work, tasks.EndKind.FAILED)
    assert _free_accelerators(work, 103.0) == [0, 0]


def test_place_is_not_kept_for_long(work):
    _end_first_member(work, tasks.EndKind.FAILED)
    _free_accelerators(work, 103.0)
    assert _free_accelerators(work, 103.0 + planning_inputs.GANG_END_TIMEOUT_S + 0.1) == [8, 0]


def test_place_of_a_preempted_member_is_not_kept(work):
    for task in work.tasks_on_node("node-1"):
        task.is_stopping = True
    _end_first_member(work, tasks.EndKind.STOPPED)
    assert _free_accelerators(work, 103.0) == [8, 0]


# Guards against a worker that pauses for longer after one failed run, since each of several members
# that failed on it counted as a failed trial; they were marked as started one after the other.
def test_members_that_fail_on_one_worker_are_one_failure_of_it(work):
    first, second = (work.find_task(tasks.TaskKey(JOB_ID, 0, 0, index)) for index in (0, 1))
    second.record = attrs.evolve(second.record, node="node-0")
    _end_first_member(work, tasks.EndKind.FAILED)
    second.mark_started(103.1)
    result = workers.RunResult(2, second.key, 1, tasks.EndKind.FAILED)
    work.apply_end("node-0", result, 103.2)
    assert first.is_waiting
    assert second.is_waiting
    assert work.outcomes("node-0").failed_trials == 1


def test_members_that_fail_in_two_runs_on_one_worker_are_two_failures_of_it(work):
    first = work.find_task(tasks.TaskKey(JOB_ID, 0, 0, 0))
    unit = first.unit
    for run in (1, 2):
        for number, member in enumerate(unit.members, 1):
            result = workers.RunResult(2 * run + number, member.key, run, tasks.EndKind.FAILED)
            work.apply_end(member.record.node, result, 103.0 + 10.0 * run)
        work.assign(unit, NODES, {node: tasks.Incarnation(node, 1) for node in NODES}, 115.0)
    assert unit.failures == 2
    assert work.outcomes("node-0").failed_trials == 2
