"""Which workers a unit may use again after a start was refused or a run of it failed there."""

import attrs
import pytest

from papayaspar_jobs import tasks
from papayaspar_scheduling import health, ordering

NORMAL = ordering.Rank.NORMAL


def _nodes(plan):
    return [node for start in plan.starts for node in start.nodes]


def _refuse_start(unit, *nodes):
    unit.members[0].failed_nodes.update(nodes)
    unit.members[0].record = tasks.TaskRecord(run=1)


@pytest.fixture
def add_labelled_unit(cluster, make_step):
    """Return a function that adds a waiting unit that may use only node-0 and node-3."""
    for number in (0, 3):
        cluster.workers[number].labels |= {"needed"}

    def add(waited_s):
        step = make_step(required_label="needed", estimate_ms=60_000)
        return cluster.add_waiting_unit(step, NORMAL, waited_s=waited_s)

    return add


# Guards against an attempt that is used up on an ejected worker, since a sound one refused a start:
# the unit may use each worker then, not only the one that refused.
def test_refused_start_does_not_admit_a_unit_to_ejected_workers(cluster, add_labelled_unit):
    cluster.workers[0].is_trusted = False
    _refuse_start(add_labelled_unit(health.repeat_pause_s(1)), "node-3")
    assert _nodes(cluster.plan()) in ([], ["node-3"])


# As above, with a worker that pauses after a failure, or tries another unit.
def test_refused_start_does_not_admit_a_unit_to_workers_that_pause(
    cluster, make_step, add_labelled_unit
):
    cluster.workers[0].trial = health.Trial.CLOSED
    cluster.add_running_unit(make_step(), "node-3", rank=NORMAL)
    _refuse_start(add_labelled_unit(health.repeat_pause_s(1)), "node-3")
    assert _nodes(cluster.plan()) == []


# Without a refused start, a unit waits for a worker that pauses.
def test_unit_without_a_refused_start_waits_for_workers_that_pause(
    cluster, make_step, add_labelled_unit
):
    cluster.workers[0].trial = health.Trial.CLOSED
    cluster.add_running_unit(make_step(), "node-3", rank=NORMAL)
    add_labelled_unit(5.0)
    assert _nodes(cluster.plan()) == []


# Guards against a gang that fails again on workers that are ejected, beside sound ones on which it
# failed before.
def test_gang_that_failed_widely_is_not_admitted_to_ejected_workers(cluster, make_step):
    for worker in cluster.workers[:2]:
        worker.is_trusted = False
    gang = make_step(task_count=2, is_gang=True, estimate_ms=60_000)
    unit = cluster.add_waiting_unit(gang, NORMAL, waited_s=health.repeat_pause_s(1))
    for member, node in zip(unit.members, ("node-2", "node-3"), strict=True):
        member.failed_nodes.add(node)
        unit.note_failed_node(1, node)
    unit.members[0].record = tasks.TaskRecord(run=1, failures=1, failed_run=1)
    assert sorted(_nodes(cluster.plan())) in ([], ["node-2", "node-3"])


# Guards against a task that lasts and stays away while all workers are ejected, as long as an
# ejection lasts: it has no attempts to save.
def test_lasting_task_that_failed_is_restarted_on_ejected_workers(cluster, make_step):
    for worker in cluster.workers:
        worker.is_trusted = False
    step = make_step(is_lasting=True, estimate_ms=60_000)
    unit = cluster.add_waiting_unit(step, NORMAL, waited_s=health.repeat_pause_s(1))
    unit.members[0].failed_nodes.update(worker.node for worker in cluster.workers)
    unit.members[0].record = tasks.TaskRecord(run=1, failures=1, failed_run=1)
    assert len(_nodes(cluster.plan())) == 1


# Guards against an attempt that is used up on a worker that fails what it starts: the worker is on
# trial because of other units, and refused a start of this one before.
def test_refused_start_does_not_end_the_pause_of_its_worker(cluster, make_step):
    cluster.workers[3].labels |= {"only"}
    cluster.workers[3].trial = health.Trial.CLOSED
    step = make_step(required_label="only", estimate_ms=60_000)
    unit = cluster.add_waiting_unit(step, NORMAL, waited_s=health.repeat_pause_s(1))
    _refuse_start(unit, "node-3")
    assert _nodes(cluster.plan()) == []


# Guards against a task that lasts and is passed over, since a task that may use fewer workers, and
# is equal to it otherwise, did not fit.
def test_lasting_task_is_restarted_beside_an_equal_task_that_waits(cluster, make_step):
    for worker in cluster.workers:
        worker.is_trusted = False
    for is_lasting in (False, True):
        step = make_step(is_lasting=is_lasting, estimate_ms=60_000)
        unit = cluster.add_waiting_unit(step, NORMAL, waited_s=health.repeat_pause_s(1))
        _refuse_start(unit, "node-3")
    (start,) = cluster.plan().starts
    assert start.demand.unit.step.is_lasting


def _fail_run(unit, *nodes):
    """Let a run of a unit fail on the given VMs."""
    unit.members[0].failed_nodes.update(nodes)
    unit.note_failed_node(1, nodes[0])
    unit.members[0].record = tasks.TaskRecord(run=1, failures=1, failed_run=1)


# Guards against a unit that never runs again on the worker on which a run of it failed, as long as
# a full worker could hold it if idle: the pause ends by itself, and no attempt is used up before.
@pytest.mark.parametrize(
    ("attempts", "pause_s"), [(2, health.EJECTION_S), (3, health.attempt_pause_s(1))]
)
def test_unit_that_failed_runs_there_again_beside_a_full_worker(
    cluster, make_step, add_labelled_unit, attempts, pause_s
):
    cluster.add_running_unit(make_step(), "node-0", rank=NORMAL)
    for waited_s in (pause_s - 0.1, pause_s):
        unit = add_labelled_unit(waited_s)
        unit.job.attempts = attempts
        _fail_run(unit, "node-3")
    (start,) = cluster.plan().starts
    assert (start.demand.waited_s, start.nodes) == (pause_s, ("node-3",))


# Guards against a pause that begins again with each start that another worker refuses for want of
# room: each of them begins the wait of the unit again.
def test_pause_does_not_begin_again_with_the_wait(cluster, make_step, add_labelled_unit):
    cluster.add_running_unit(make_step(), "node-0", rank=NORMAL)
    _fail_run(add_labelled_unit(0.0), "node-3")
    assert _nodes(cluster.plan()) == []
    (demand,) = cluster.waiting
    cluster.waiting = [attrs.evolve(demand, paused_s=health.EJECTION_S)]
    assert _nodes(cluster.plan()) == ["node-3"]


# As above, on the only worker that the unit may use: its estimate does not matter.
def test_unit_that_failed_runs_on_its_only_worker_again(cluster, make_step):
    cluster.workers[3].labels |= {"only"}
    step = make_step(required_label="only", estimate_ms=3_600_000)
    _fail_run(cluster.add_waiting_unit(step, NORMAL, waited_s=health.EJECTION_S), "node-3")
    assert _nodes(cluster.plan()) == ["node-3"]


# Guards against a last attempt that is used up on a worker whose newest run has just failed.
def test_unit_that_failed_waits_while_its_worker_pauses(cluster, make_step, add_labelled_unit):
    cluster.add_running_unit(make_step(), "node-0", rank=NORMAL)
    cluster.workers[3].trial = health.Trial.CLOSED
    _fail_run(add_labelled_unit(health.EJECTION_S), "node-3")
    assert cluster.plan().starts == ()


# Guards against a unit that waits beside the worker on which it failed since it may use remote
# racks, and that worker only on its own rack.
def test_unit_that_failed_on_a_remote_rack_runs_there_again(cluster, make_step):
    for node in ("node-0", "node-1", "node-2"):
        cluster.add_running_unit(make_step(), node, rank=NORMAL)
    step = make_step(data_rack="r1-0", estimate_ms=1000)
    _fail_run(cluster.add_waiting_unit(step, NORMAL, waited_s=health.EJECTION_S), "node-3")
    assert _nodes(cluster.plan()) == ["node-3"]


# Guards against a task that lasts and stays away beside an ejected worker, as long as a worker that
# is full could hold it if idle.
def test_lasting_task_that_failed_is_restarted_on_an_ejected_worker_beside_a_full_one(
    cluster, make_step
):
    cluster.workers[3].is_trusted = False
    for node in ("node-0", "node-1", "node-2"):
        cluster.add_running_unit(make_step(), node, rank=NORMAL)
    step = make_step(is_lasting=True, estimate_ms=60_000)
    _fail_run(cluster.add_waiting_unit(step, NORMAL, waited_s=health.repeat_pause_s(1)), "node-3")
    assert _nodes(cluster.plan()) == ["node-3"]
