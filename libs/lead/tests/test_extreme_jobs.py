"""Jobs that ask for as much as the validation allows: they end no lead, and stop no other job."""

import attrs
import pytest

from papayaspar_jobs import rooms, specs
from papayaspar_scheduling import ordering
from papayaspar_store import records

from . import simulated_workers, waiting_liveness, waiting_simulation

pytestmark = pytest.mark.anyio

URGENT, NORMAL, BULK = waiting_simulation.QUEUES
MAX = specs.NUMBER_MAX
HUGE = specs.Resources(MAX, MAX, MAX)
DAY_MS = 86_400_000
ONE = specs.Step(1, specs.Resources(1000, 1000, 1), 4000)
FULL = specs.Step(specs.TASKS_MAX, simulated_workers.CAPACITY, MAX)
STEPS = {
    "accelerators": specs.Step(8, specs.Resources(0, 0, MAX), DAY_MS),
    "one too many": specs.Step(8, specs.Resources(0, 0, 9), DAY_MS),
    "everything": specs.Step(specs.TASKS_MAX, HUGE, MAX, per_worker_max=MAX, unavailable_max=MAX),
    "gang": specs.Step(specs.TASKS_MAX, HUGE, MAX, is_gang=True, is_same_rack=True),
    "lasting": specs.Step(8, HUGE, MAX, is_lasting=True, latency_target_ms=MAX),
    "filler": specs.Step(8, HUGE, MAX, is_filler=True, data_rack="r1"),
    "long": FULL,
    "long gang": attrs.evolve(FULL, task_count=5, is_gang=True),
    # Few enough to be restored at once, since the simulation has no event loop.
    "nothing": specs.Step(20, specs.Resources(), MAX),
}


def _play(simulation, seconds):
    """Let time pass, and check that each summary of the room can be read."""
    for _ in range(round(seconds / waiting_simulation.TICK_S)):
        simulation.tick()
        assert not simulation.view.is_room_unreadable


def _submit(simulation, step, queue=NORMAL, team="other"):
    spec = specs.JobSpec("f" * 16, queue.name, team, "", (step,))
    specs.validate(spec)
    return simulation.submit(step, queue, team, "")


# Guards against a job whose numbers make the wait that the lead publishes too large to be packed:
# it ended each lead, one after another. Other leads then read what the first one published.
@pytest.mark.parametrize("queue", [URGENT, NORMAL, BULK])
@pytest.mark.parametrize("name", STEPS)
async def test_job_with_the_largest_numbers_ends_no_lead(simulation, name, queue):
    _submit(simulation, STEPS[name], queue)
    _submit(simulation, ONE, queue)
    _play(simulation, 3.0)
    simulation.lose_lead(stored_count=5, gap_s=0.0)
    _play(simulation, 3.0)
    assert simulation.epoch == 2


# Guards against a job that can never run and waits in time: it counted in the wait by which
# the entries refuse all jobs of its rank, beside idle workers.
@pytest.mark.parametrize("name", ["accelerators", "one too many", "everything", "gang"])
async def test_job_that_can_never_run_makes_no_other_wait(simulation, name):
    _submit(simulation, STEPS[name])
    _play(simulation, 3.0)
    spec = specs.JobSpec("f" * 16, NORMAL.name, "other", "", (ONE,))
    (room,) = simulation.view.room.pools
    assert rooms.expected_wait_s(spec, room, ordering.Rank.NORMAL) == 0.0
    job_id = _submit(simulation, ONE)
    _play(simulation, waiting_liveness.WAIT_MAX_S)
    assert simulation.work.job(job_id).progress.has_started


# Guards against a lead that ends because a summary can't be stored: entries do without it.
async def test_summary_that_can_not_be_stored_ends_no_lead(simulation, monkeypatch):
    wait = rooms.ExpectedWait(accelerators_s=2**64)
    record = records.RoomRecord(1, (rooms.PoolRoom(simulated_workers.POOL, waits=(wait,)),))
    monkeypatch.setattr(
        simulation.scheduler._room_summary, "updated", lambda demands, now_s: record
    )
    _play(simulation, 1.0)
    assert simulation.is_lead_present
