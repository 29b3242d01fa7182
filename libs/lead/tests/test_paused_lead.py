"""A lead that was paused for some seconds.

The reports that arrived meanwhile have not been read when it plans again, so that every young run
looked as if it had stalled, and was stopped on a worker that had been at work all the time.
"""

import types

import pytest

from papayaspar_events import journal, lines, metrics
from papayaspar_jobs import configurations, registries, specs, tasks, units
from papayaspar_lead import planning_inputs, reconciling, state, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_scheduling import fleet
from papayaspar_store import views

KEY = tasks.TaskKey("0" * 16, 0, 0, 0)
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 0, 3, 1.5, 250)
ROUND_S = 0.25


class RecordingOrders:
    """Stop orders that are recorded instead of sent."""

    def __init__(self):
        self.stopped = []

    def stop_unit(self, unit, reason, purpose):
        self.stopped.append(reason)


@pytest.fixture
def lead():
    """Return a reconciler, its stop orders and the workload: one run that began at 100 s."""
    clock_source = clock.BootClock()
    events = journal.Journal("entry", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    work = workload.Workload(events)
    registry = registries.JobRegistry()
    step = specs.Step(1, specs.Resources(1000, 1000, 1), 10_000)
    registry.accept(specs.JobSpec(KEY.job_id, "checks", "team", "", (step,)), QUEUE, 0)
    work.sync(registry, 100.0)
    (demand,) = planning_inputs.PlanningInputs(work).demands(100.0, 0.0)
    work.assign(demand.unit, ("node-1",), {"node-1": tasks.Incarnation("w-1", 1)}, 100.0)
    demand.unit.members[0].mark_started(100.0)
    worker = fleet.Worker("node-1", "pool", is_open=True)
    link = types.SimpleNamespace(
        node="node-1",
        is_attached=True,
        worker=worker,
        state=None,
        worker_lease_expiry_s=lambda: float("inf"),
    )
    scheduler_state = state.SchedulerState(
        work, {"node-1": link}, views.SharedView(clock_source), clock_source, events
    )
    orders = RecordingOrders()
    reconciler = reconciling.Reconciler(scheduler_state, orders, None, float("inf"))
    return types.SimpleNamespace(reconciler=reconciler, orders=orders, work=work, events=events)


def _run_rounds(lead, from_s, to_s, progress_per_s=0.0):
    (task,) = lead.work.tasks_on_node("node-1")
    now_s = from_s
    while now_s <= to_s:
        if progress_per_s:
            percent = (now_s - 100.0) * progress_per_s
            lead.work.apply_progress(task, workers.RunStatus(KEY, 1, percent=percent), now_s)
        lead.reconciler.reconcile(now_s)
        now_s += ROUND_S


def test_run_is_not_stopped_after_a_pause_of_the_lead(lead):
    _run_rounds(lead, 100.0, 101.0, progress_per_s=10.0)
    lead.reconciler.reconcile(105.0)
    _run_rounds(lead, 105.25, 109.0, progress_per_s=10.0)
    assert lead.orders.stopped == []


def test_run_that_stands_still_is_stopped_also_after_a_pause(lead):
    _run_rounds(lead, 100.0, 101.0, progress_per_s=10.0)
    lead.reconciler.reconcile(105.0)
    _run_rounds(lead, 105.25, 105.0 + units.STALL_TIMEOUT_S + ROUND_S)
    assert "stalled" in lead.orders.stopped
    assert any(event.kind is lines.EventKind.TASK_STALLED for event in lead.events.newest(10))
