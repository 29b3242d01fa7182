"""Failed attempts in the records of former versions, which don't say which run failed last."""

import msgpack
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, registries, specs, tasks
from papayaspar_lead import planning_inputs, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_store import records, stores

JOB_ID = "0" * 16
STEP = specs.Step(2, specs.Resources(1000, 100, 1), 5000, is_gang=True)
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 0, 3, 1.5, 250)
NODES = ("node-0", "node-1")
FORMER_RUN = 3


@pytest.fixture
def unit_of():
    """Return a function that restores a gang from records of a former version.

    It takes the number of failed runs in the record of each member, and returns the workload and
    the unit.
    """

    def restore(*failures):
        registry = registries.JobRegistry()
        registry.accept(specs.JobSpec(JOB_ID, "checks", "team", "", (STEP,)), QUEUE, 0)
        hybrid_clock = causality.HybridClock(clock.BootClock())
        work = workload.Workload(journal.Journal("entry", "dc", hybrid_clock, metrics.Metrics()))
        work.sync(registry, 100.0)
        for index, count in enumerate(failures):
            key = tasks.TaskKey(JOB_ID, 0, 0, index)
            value = {"run": FORMER_RUN, "node": NODES[index], "failures": count}
            stored = stores.KeyedRecord(f"{records.TASK_PREFIX}{key}", msgpack.packb(value))
            work.restore(key, records.decode(stored, tasks.TaskRecord), 100.0)
        return work, work.find_task(key).unit

    return restore


def _fail_next_run(work):
    (demand,) = planning_inputs.PlanningInputs(work).demands(101.0, 0.0)
    work.assign(demand.unit, NODES, {node: tasks.Incarnation(node, 1) for node in NODES}, 101.0)
    for number, task in enumerate(demand.unit.members, 1):
        end = workers.RunResult(number, task.key, task.record.run, tasks.EndKind.FAILED)
        work.apply_end(task.record.node, end, 102.0)


def test_failed_attempts_of_a_former_version_still_count(unit_of):
    _, unit = unit_of(1, 0)
    assert unit.failures == 1


def test_job_that_a_former_version_counted_as_failed_has_failed(unit_of):
    work, unit = unit_of(QUEUE.attempts, 0)
    assert unit.job.has_failed
    assert planning_inputs.PlanningInputs(work).demands(101.0, 0.0) == []


def test_next_failed_run_counts_once_after_those_of_a_former_version(unit_of):
    work, unit = unit_of(1, 0)
    _fail_next_run(work)
    assert unit.failures == 2
    assert not unit.job.has_failed
