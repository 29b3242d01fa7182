"""What operators see of a stop: its cost, cause and beneficiary, each counted once for a run."""

import types

import attrs
import pytest

from papayaspar_events import journal, lines, metrics
from papayaspar_jobs import configurations, registries, specs, tasks
from papayaspar_lead import orders, planning_inputs, state, workload
from papayaspar_model import causality, clock
from papayaspar_scheduling import stop_costs, stops
from papayaspar_store import views

JOB_ID, BENEFICIARY = "0" * 16, "b" * 16
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 0, 3, 1.5, 250)
NODES = ("node-0", "node-1")
MEMBER = specs.Resources(4000, 1000, 4)
CORES = 4.0 + 4 * stop_costs.CORES_PER_ACCELERATOR
PURPOSE = stops.Purpose(stops.Cause.RECLAIM, BENEFICIARY, 500.0)


class IdleSpawner(state.TaskSpawner):
    """Starts nothing: stop orders are neither accepted nor refused."""

    def start(self, function, *arguments):
        pass


@attrs.define
class Lead:
    """A lead that runs one gang on two workers."""

    orders: orders.Orders
    unit: object
    events: journal.Journal
    metrics: metrics.Metrics

    def counted(self, name, cause="reclaim"):
        """Return the value of a counter of stops."""
        prefix = f'{name}_total{{cause="{cause}"}} '
        for line in self.metrics.exposition().decode().splitlines():
            if line.startswith(prefix):
                return float(line.removeprefix(prefix))
        return 0.0


@pytest.fixture
def lead():
    """Return a lead whose gang has run for ten seconds."""
    clock_source = clock.ManualClock(100.0)
    lead_metrics = metrics.Metrics()
    events = journal.Journal("entry", "dc", causality.HybridClock(clock_source), lead_metrics)
    work = workload.Workload(events)
    registry = registries.JobRegistry()
    step = specs.Step(2, MEMBER, 20_000, is_gang=True)
    registry.accept(specs.JobSpec(JOB_ID, "checks", "team", "", (step,)), QUEUE, 0)
    work.sync(registry, 100.0)
    (demand,) = planning_inputs.PlanningInputs(work).demands(100.0, 0.0)
    work.assign(demand.unit, NODES, {node: tasks.Incarnation(node, 1) for node in NODES}, 100.0)
    for task in demand.unit.members:
        task.mark_started(100.0)
    clock_source.advance(10.0)
    links = {node: types.SimpleNamespace(node=node, is_attached=True) for node in NODES}
    scheduler_state = state.SchedulerState(
        work, links, views.SharedView(clock_source), clock_source, events
    )
    scheduler_state.spawner = IdleSpawner()
    lead_orders = orders.Orders(scheduler_state, None, lambda: True, lambda node: True)
    return Lead(lead_orders, demand.unit, events, lead_metrics)


def test_line_of_a_stop_names_its_cost_cause_and_beneficiary(lead):
    lead.orders.stop_unit(lead.unit, "preempted", PURPOSE)
    stop_lines = [e for e in lead.events.newest(10) if e.kind is lines.EventKind.STOP_ORDERED]
    assert len(stop_lines) == len(NODES)
    lost_core_s = 2 * CORES * (10.0 + stop_costs.RESTART_S)
    for line in stop_lines:
        assert f"cause=reclaim unit_lost_core_s={lost_core_s:.1f}" in line.detail
        assert f"for={BENEFICIARY} gain_core_s=500.0" in line.detail


# A stop that got no answer is ordered again, for each member.
def test_stop_that_is_ordered_again_counts_once(lead):
    for _ in range(3):
        lead.orders.stop_unit(lead.unit, "preempted", PURPOSE)
        for task in lead.unit.members:
            task.is_stopping = False
    assert lead.counted("papayaspar_stops") == 1.0
    assert lead.counted("papayaspar_gained_work_core_seconds") == 500.0
    lost_core_s = 2 * CORES * (10.0 + stop_costs.RESTART_S)
    assert lead.counted("papayaspar_stopped_work_core_seconds") == pytest.approx(lost_core_s)
    assert lead.unit.stops.lost_core_s == pytest.approx(lost_core_s)


# The second cause of a stop throws nothing more away.
def test_run_that_is_stopped_for_two_causes_counts_under_the_first(lead):
    lead.orders.stop_unit(lead.unit, "preempted", PURPOSE)
    lead.unit.members[0].is_stopping = False
    lead.orders.stop_unit(lead.unit, "cancelled", stops.CANCEL)
    assert lead.counted("papayaspar_stops") == 1.0
    assert lead.counted("papayaspar_stops", "cancel") == 0.0


def test_stop_that_reaches_no_agent_is_not_counted(lead):
    for link in lead.orders._state.links.values():
        link.is_attached = False
    lead.orders.stop_unit(lead.unit, "preempted", PURPOSE)
    assert lead.counted("papayaspar_stops") == 0.0
