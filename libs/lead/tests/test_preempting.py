"""What operators see of the units that are stopped for one that waits."""

import pytest

from papayaspar_events import lines
from papayaspar_jobs import specs

from . import simulated_workers, waiting_simulation

pytestmark = pytest.mark.anyio

URGENT, _, BULK = waiting_simulation.QUEUES


def _fill(simulation):
    """Fill each worker with one unit of bulk work."""
    full = specs.Step(1, simulated_workers.CAPACITY, 60_000)
    for _ in simulated_workers.NODES:
        simulation.submit(full, BULK, "other", "")
    for _ in range(8):
        simulation.tick()


def _lines(simulation):
    return [e for e in simulation.events.newest(100) if e.kind is lines.EventKind.JOB_RECLAIMED]


async def test_stops_for_a_unit_are_recorded_as_first_or_repeated(simulation):
    _fill(simulation)
    urgent = specs.Step(1, simulated_workers.CAPACITY, 1000)
    job_id = simulation.submit(urgent, URGENT, waiting_simulation.GUARANTEED_TEAM, "")
    simulation.tick()
    (first,) = _lines(simulation)
    assert first.code == "first"
    assert f"for={job_id} unit={job_id}.0.0.0 rank=GUARANTEED" in first.detail
    (stopped,) = [
        link for link in simulation.links().values() if link.node in _stopping(simulation)
    ]
    simulation.leave(simulation.workers[stopped.node])
    for _ in range(12):
        simulation.tick()
    assert [line.code for line in _lines(simulation)] == ["first", "repeated"]


async def test_ended_run_that_its_agent_still_lists_has_nothing_else_stopped(simulation):
    """Units were stopped on a second worker in the moment at which the first one was free.

    An agent lists a run that has ended beside its end, until it polls its worker again.
    """
    _fill(simulation)
    for worker in simulation.workers.values():
        worker.lists_ended_runs = True
    urgent = specs.Step(1, simulated_workers.CAPACITY, 30_000)
    job_id = simulation.submit(urgent, URGENT, waiting_simulation.GUARANTEED_TEAM, "")
    for _ in range(8):
        simulation.tick()
    assert [line.code for line in _lines(simulation)] == ["first"]
    assert simulation.work.job(job_id).progress.is_active


def _stopping(simulation):
    """Return the VMs on which a run is being stopped."""
    return {t.record.node for t in simulation.work.assigned_tasks() if t.is_stopping}
