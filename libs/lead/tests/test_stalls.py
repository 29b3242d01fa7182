"""Runs that wait or take long, beside runs that have hung.

Two loads are played against the reconciler: gangs on workers of uneven speed, and tasks with a long
tail. Progress is reported four times a second, in whole percents.
"""

import types

import attrs
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, durations, registries, specs, tasks, units
from papayaspar_lead import planning_inputs, reconciling, state, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_scheduling import fleet, stalls
from papayaspar_store import views

JOB_ID, OTHER_JOB_ID = "0" * 16, "1" * 16
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 0, 3, 1.5, 250)
MEMBER = specs.Resources(4000, 1000, 4)
ROUND_S = 0.25
START_S = 100.0


class RecordingOrders:
    """Stop orders that are recorded instead of sent."""

    def __init__(self):
        self.stopped = []

    def stop_unit(self, unit, reason, purpose):
        self.stopped.append(unit)


class LearnedDurations(durations.DeclaredDurations):
    """Run times that were learned from finished runs."""

    def __init__(self, middle_s, high_s):
        self._expected = durations.ExpectedDuration(
            middle_s, high_s, durations.Source.LEARNED, run_count=50
        )

    def expected(self, spec, step):
        return self._expected


@attrs.define
class Lead:
    """A reconciler with its workload, and the runs whose progress it is told."""

    reconciler: reconciling.Reconciler
    orders: RecordingOrders
    work: workload.Workload
    links: dict
    # Time in which the percentage of each task rises to 100, and where it stops, in percent.
    full_s: dict = attrs.field(factory=dict)
    percent_max: dict = attrs.field(factory=dict)

    def start(self, step, full_s, job_id=JOB_ID, first_node=0):
        """Start a job of one unit, each member on a worker of its own, and return the unit.

        :param full_s: for each member, when it shows 100 percent, in seconds after its start.
        """
        registry = registries.JobRegistry()
        registry.accept(specs.JobSpec(job_id, "checks", "team", "", (step,)), QUEUE, 0)
        self.work.sync(registry, START_S)
        demands = planning_inputs.PlanningInputs(self.work).demands(START_S, 0.0)
        (unit,) = [demand.unit for demand in demands if demand.unit.job.spec.job_id == job_id]
        nodes = tuple(f"node-{first_node + index}" for index in range(len(full_s)))
        for node in nodes:
            worker = fleet.Worker(node, "pool", is_open=True)
            self.links[node] = types.SimpleNamespace(
                node=node,
                is_attached=True,
                worker=worker,
                state=None,
                worker_lease_expiry_s=lambda: float("inf"),
            )
        incarnations = {node: tasks.Incarnation(node, 1) for node in nodes}
        self.work.assign(unit, nodes, incarnations, START_S)
        for task, member_full_s in zip(unit.members, full_s, strict=True):
            task.mark_started(START_S)
            self.full_s[task] = member_full_s
        return unit

    def play(self, seconds, since_s=0.0):
        """Let time pass; return when the first unit is stopped, in seconds, or ``None``."""
        for round_number in range(int(since_s / ROUND_S), int(seconds / ROUND_S) + 1):
            elapsed_s = round_number * ROUND_S
            now_s = START_S + elapsed_s
            for task, full_s in self.full_s.items():
                percent = min(100.0, 100.0 * elapsed_s / full_s) // 1
                percent = min(percent, self.percent_max.get(task, 100.0))
                run_status = workers.RunStatus(task.key, task.record.run, percent=percent)
                self.work.apply_progress(task, run_status, now_s)
            self.reconciler.reconcile(now_s)
            if self.orders.stopped:
                return elapsed_s
        return None

    def ejected(self, now_s):
        """Return the VMs whose workers are ejected."""
        return [node for node in self.links if self.work.outcomes(node).is_ejected(now_s)]


@pytest.fixture
def lead():
    """Return a lead without work."""
    clock_source = clock.BootClock()
    events = journal.Journal("entry", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    work = workload.Workload(events)
    links = {}
    scheduler_state = state.SchedulerState(
        work, links, views.SharedView(clock_source), clock_source, events
    )
    orders = RecordingOrders()
    reconciler = reconciling.Reconciler(scheduler_state, orders, None, float("inf"))
    return Lead(reconciler, orders, work, links)


# Guards against stops of sound gangs on uneven workers: members on fast workers have done their
# share and show 100 percent, and wait there for the one on the slow worker.
def test_gang_that_waits_for_its_slow_member_is_not_stopped(lead):
    gang = specs.Step(5, MEMBER, 4000, is_gang=True)
    lead.start(gang, [4.0, 4.0, 4.0, 4.0, 12.0])
    assert lead.play(12.0) is None


# Guards against stops of sound tasks that are longer than declared.
def test_task_that_works_three_times_as_long_as_declared_is_not_stopped(lead):
    lead.start(specs.Step(1, MEMBER, 4000), [4.0])
    assert lead.play(12.0) is None


# Guards against hung runs that are found later since others may wait or be long: 5 s is the time of
# a run of 10 s that hangs at half of its work and restarts from its beginning.
@pytest.mark.parametrize(
    ("is_checkpointed", "percent", "longest_s"),
    [(False, 50.0, 10.0), (True, 50.0, 8.0), (False, 0.0, 3.0), (True, 99.0, 12.9)],
)
def test_hung_run_is_found_as_soon_as_before(lead, is_checkpointed, percent, longest_s):
    step = specs.Step(1, MEMBER, 10_000, is_checkpointed=is_checkpointed)
    unit = lead.start(step, [10.0])
    lead.percent_max[unit.members[0]] = percent
    stopped_s = lead.play(30.0)
    assert stopped_s is not None and stopped_s <= longest_s + ROUND_S
    assert lead.ejected(START_S + stopped_s) == ["node-0"]


# Guards against ejections of the sound workers of a gang, and against a hung member that hides
# behind others that have done their share.
def test_hung_member_of_a_gang_is_found_and_only_its_worker_ejected(lead):
    unit = lead.start(specs.Step(3, MEMBER, 4000, is_gang=True), [4.0, 4.0, 8.0])
    lead.percent_max[unit.members[2]] = 25.0
    stopped_s = lead.play(30.0)
    # It hangs after 2 s; without checkpoints, it is stopped once it has stood still for as long.
    assert stopped_s is not None and stopped_s <= 2.0 + units.STALL_TIMEOUT_S + ROUND_S
    assert lead.ejected(START_S + stopped_s) == ["node-2"]


@pytest.mark.parametrize(("neighbour_percent", "is_stopped"), [(10.0, True), (100.0, False)])
def test_overrunning_task_is_hung_only_if_its_neighbour_is(
    lead, monkeypatch, neighbour_percent, is_stopped
):
    monkeypatch.setattr(workload.Workload, "durations", LearnedDurations(4.0, 6.0))
    long_task = lead.start(specs.Step(1, MEMBER, 4000), [4.0])
    other_step = specs.Step(1, MEMBER, 60_000, is_checkpointed=True)
    other = lead.start(other_step, [60.0], OTHER_JOB_ID)
    lead.percent_max[other.members[0]] = neighbour_percent
    other.members[0].is_stopping = is_stopped
    assert lead.play(6.0 * stalls.OVERRUN_RATIO - ROUND_S) is None
    stopped_s = lead.play(6.0 * stalls.OVERRUN_RATIO + 1.0, 6.0 * stalls.OVERRUN_RATIO)
    assert (stopped_s is not None) is is_stopped
    assert lead.orders.stopped in ([], [long_task])
