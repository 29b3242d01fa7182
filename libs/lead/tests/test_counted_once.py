"""What is told more than once, or by several members or leads, and what it counts as."""

import attrs
import msgpack
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, registries, specs, tasks
from papayaspar_lead import planning_inputs, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_store import records, stores

JOB_ID = "0" * 16
MEMBER = specs.Resources(1000, 100, 8)
GANG = specs.Step(2, MEMBER, 5000, is_gang=True)
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


def _former_record(node):
    """Return the record of a member that a lead of a former version stored with its second run."""
    return msgpack.packb({"phase": "assigned", "run": 2, "node": node, "failures": 1})


def _stored(work):
    """Return the stored form of the members' records."""
    members = work.find_task(_key(0)).unit.members
    return [records.encode("task/", task.record).value for task in members]


def _assign(work, now_s, is_started=True):
    (demand,) = planning_inputs.PlanningInputs(work).demands(now_s, 1e15)
    nodes = NODES[: len(demand.unit.members)]
    work.assign(demand.unit, nodes, {node: tasks.Incarnation(node, 1) for node in nodes}, now_s)
    for task in demand.unit.members if is_started else ():
        task.mark_started(now_s)
    return demand.unit


def _end(work, index, run, kind, now_s, checkpoint=""):
    end = workers.RunResult(1, _key(index), run, kind, checkpoint)
    work.apply_end(NODES[index], end, now_s)


# Guards against a worker that fails all it starts and is neither barred nor tried out: the run
# resumed, was listed before the answer to its start order was read, and made no progress.
def test_late_answer_to_a_start_is_no_progress_of_a_run_that_resumed(make_work):
    work = make_work(specs.Step(1, MEMBER, 10_000, is_checkpointed=True))
    _assign(work, 100.0)
    _end(work, 0, 1, tasks.EndKind.STOPPED, 104.0, "saved")
    unit = _assign(work, 105.0, is_started=False)
    (task,) = unit.members
    work.apply_progress(task, workers.RunStatus(_key(0), 2, "saved", 40.0), 105.1)
    task.mark_started(106.0)
    _end(work, 0, 2, FAILED, 106.1)
    assert unit.failed_nodes == {"node-0"}


# Guards against a gang that has one attempt more than its queue allows, long after the lead of a
# former version was replaced: its count stays without a run until the next failure.
@pytest.mark.parametrize("first", [BROKEN, tasks.EndKind.EXPIRED])
def test_run_that_begins_before_an_upgrade_counts_after_two_new_leads(make_work, first):
    work = make_work(GANG, [_former_record(node) for node in NODES])
    _end(work, 0, 2, first, 101.0)
    work = make_work(GANG, _stored(work))
    _end(work, 1, 2, FAILED, 102.0)
    assert work.find_task(_key(0)).unit.failures == 2


# As above; the run is started by a lead of this version, after the first one was preempted.
def test_run_that_begins_after_an_upgrade_counts_after_another_new_lead(make_work):
    work = make_work(GANG, [_former_record(node) for node in NODES])
    for index in range(len(NODES)):
        _end(work, index, 2, tasks.EndKind.STOPPED, 101.0)
    _assign(work, 102.0)
    _end(work, 0, 3, BROKEN, 103.0)
    work = make_work(GANG, _stored(work))
    _end(work, 1, 3, FAILED, 104.0)
    assert work.find_task(_key(0)).unit.failures == 2


# Guards against work of a gang that is done again, since the member whose checkpoint is used is
# that of a worker that was cut off, while another one has reported newer checkpoints.
def test_gang_resumes_from_the_checkpoint_that_was_reported_last(make_work):
    step = attrs.evolve(GANG, is_checkpointed=True)
    work = make_work(step)
    unit = _assign(work, 100.0)
    for now_s, index, checkpoint in ((102.5, 0, "a"), (102.6, 1, "a"), (108.0, 1, "b")):
        work.apply_progress(
            unit.members[index], workers.RunStatus(_key(index), 1, checkpoint, 10.0), now_s
        )
    _end(work, 1, 1, BROKEN, 109.0, "b")
    work.release(unit.members[0], "its worker's lease has expired")
    _assign(work, 115.0)
    assert [task.record.checkpoint for task in unit.members] == ["b", "b"]


# Guards against a gang that failed on all its workers at once, and is taken for one that failed on
# one of them, since two leads were told of the members.
def test_members_that_fail_under_two_leads_failed_on_several_workers(make_work):
    work = make_work(GANG)
    _assign(work, 100.0)
    _end(work, 0, 1, FAILED, 101.0)
    work = make_work(GANG, _stored(work))
    _end(work, 1, 1, FAILED, 102.0)
    assert work.find_task(_key(0)).unit.has_failed_widely
