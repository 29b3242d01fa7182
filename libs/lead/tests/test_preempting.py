"""What operators see of the units that are stopped for one that waits."""

import pytest

from papayaspar_events import lines
from papayaspar_jobs import specs

from . import simulated_workers, waiting_simulation

pytestmark = pytest.mark.anyio

URGENT, _, BULK = waiting_simulation.QUEUES


def _lines(simulation):
    return [e for e in simulation.events.newest(100) if e.kind is lines.EventKind.JOB_RECLAIMED]


async def test_stops_for_a_unit_are_recorded_as_first_or_repeated(simulation):
    full = specs.Step(1, simulated_workers.CAPACITY, 60_000)
    for _ in simulated_workers.NODES:
        simulation.submit(full, BULK, "other", "")
    for _ in range(8):
        simulation.tick()
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


def _stopping(simulation):
    """Return the VMs on which a run is being stopped."""
    return {t.record.node for t in simulation.work.assigned_tasks() if t.is_stopping}
