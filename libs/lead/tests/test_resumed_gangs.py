"""Checkpoints of gangs and progress of runs, beside new leads and late answers."""

import attrs
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, registries, specs, tasks
from papayaspar_lead import planning_inputs, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_store import records, stores

JOB_ID = "0" * 16
MEMBER = specs.Resources(1000, 100, 8)
GANG = specs.Step(2, MEMBER, 5000, is_gang=True, is_checkpointed=True)
NODES = ("node-0", "node-1")
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 0, 2, 1.5, 250)
FAILED, BROKEN = tasks.EndKind.FAILED, tasks.EndKind.BROKEN


@pytest.fixture
def make_work():
    """Return a factory of workloads of one job, as a new lead restores them."""

    def make(step, stored=()):
        registry = registries.JobRegistry()
        registry.accept(specs.JobSpec(JOB_ID, "checks", "team", "", (step,)), QUEUE, 0)
        hybrid_clock = causality.HybridClock(clock.BootClock())
        work = workload.Workload(journal.Journal("entry", "dc", hybrid_clock, metrics.Metrics()))
        work.sync(registry, 100.0)
        for index, value in enumerate(stored):
            record = records.decode(stores.KeyedRecord("task/", value), tasks.TaskRecord)
            work.restore(_key(index), record, 100.0)
        return work

    return make


def _key(index):
    return tasks.TaskKey(JOB_ID, 0, 0, index)


def _stored(work):
    members = work.find_task(_key(0)).unit.members
    return [records.encode("task/", task.record).value for task in members]


def _assign(work, now_s, is_started=True):
    (demand,) = planning_inputs.PlanningInputs(work).demands(now_s, 1e15)
    nodes = NODES[: len(demand.unit.members)]
    work.assign(demand.unit, nodes, {node: tasks.Incarnation(node, 1) for node in nodes}, now_s)
    for task in demand.unit.members if is_started else ():
        task.mark_started(now_s)
    return demand.unit


def _report(work, index, run, checkpoint, percent, now_s):
    status = workers.RunStatus(_key(index), run, checkpoint, percent)
    work.apply_progress(work.find_task(_key(index)), status, now_s)


def _end(work, index, run, kind, now_s, checkpoint=""):
    work.apply_end(NODES[index], workers.RunResult(1, _key(index), run, kind, checkpoint), now_s)


def _checkpoints(work):
    return [work.find_task(_key(index)).record.checkpoint for index in range(2)]


def _cut_off_member_0(work):
    """Let member 0 be cut off after "a", and let member 1 report and store "b"."""
    _assign(work, 100.0)
    for now_s, index, checkpoint in ((102.5, 0, "a"), (102.6, 1, "a"), (108.0, 1, "b")):
        _report(work, index, 1, checkpoint, 10.0, now_s)


# As test_gang_resumes_from_the_checkpoint_that_was_reported_last, with a new lead that reads the
# records after both members ended.
def test_new_lead_resumes_a_gang_from_the_checkpoint_that_was_reported_last(make_work):
    work = make_work(GANG)
    _cut_off_member_0(work)
    _end(work, 1, 1, BROKEN, 109.0, "b")
    work.release(work.find_task(_key(0)), "its worker's lease has expired")
    work = make_work(GANG, _stored(work))
    _assign(work, 115.0)
    assert _checkpoints(work) == ["b", "b"]


# As above, with a new lead to which member 1 reports the checkpoint that is stored already.
def test_new_lead_resumes_a_gang_from_the_checkpoint_that_is_reported_to_it(make_work):
    work = make_work(GANG)
    _cut_off_member_0(work)
    work = make_work(GANG, _stored(work))
    _report(work, 1, 1, "b", 12.0, 110.0)
    _end(work, 1, 1, BROKEN, 111.0, "b")
    work.release(work.find_task(_key(0)), "its worker's lease has expired")
    _assign(work, 115.0)
    assert _checkpoints(work) == ["b", "b"]


# Guards against work of a gang that is done again: the member whose end is heard last has an older
# checkpoint than another one, since its agent was cut off for a while.
def test_late_end_does_not_take_a_gang_back(make_work):
    work = make_work(GANG)
    _assign(work, 100.0)
    _report(work, 1, 1, "20", 20.0, 102.0)
    _report(work, 0, 1, "50", 50.0, 105.0)
    _end(work, 0, 1, BROKEN, 105.2, "50")
    _end(work, 1, 1, FAILED, 105.4, "30")
    _assign(work, 115.0)
    assert _checkpoints(work) == ["50", "50"]


# Guards against a sound worker that is barred for the unit: the run made progress for more than
# half a second before the answer to its start order was read, and failed soon after.
def test_progress_before_a_late_answer_proves_a_run_that_resumed(make_work):
    work = make_work(attrs.evolve(GANG, task_count=1, is_gang=False, estimate_ms=10_000))
    _assign(work, 100.0)
    _end(work, 0, 1, tasks.EndKind.STOPPED, 104.0, "saved")
    unit = _assign(work, 105.0, is_started=False)
    for now_s, percent in ((105.1, 40.0), (105.9, 48.0)):
        _report(work, 0, 2, "saved", percent, now_s)
    unit.members[0].mark_started(106.0)
    _end(work, 0, 2, FAILED, 106.1)
    assert not unit.failed_nodes
