"""Teams that compete for a pool of a lead, also across leads, and what the lead publishes then.

The load is a burst of one team beside a small one; the bound is the time of one task of the burst.
"""

import loguru
import pytest

from papayaspar_events import journal
from papayaspar_jobs import specs
from papayaspar_lead import contention
from papayaspar_store import records

from . import simulated_lead, simulated_workers, waiting_simulation

pytestmark = pytest.mark.anyio

_, NORMAL, _ = waiting_simulation.QUEUES
WHOLE = specs.Resources(8_000, 16_000, 8)
TASK_S = 4.0
# Reports, ends and orders pass through some rounds.
ROUNDS_S = 1.0


class StartRecorder(simulated_lead.Observer):
    """Keeps when each job began."""

    def __init__(self):
        self.simulation = None
        self.began_s = {}

    def note_start(self, unit):
        self.began_s.setdefault(unit.job.spec.job_id, self.simulation.now_s)


@pytest.fixture
async def simulation():
    """Return a simulation, while the journal writes no lines."""
    loguru.logger.disable(journal.__name__)
    recorder = StartRecorder()
    recorder.simulation = waiting_simulation.Simulation(recorder)
    yield recorder.simulation
    loguru.logger.enable(journal.__name__)


def _submit(simulation, team, count=1, duration_s=TASK_S):
    step = specs.Step(1, WHOLE, int(duration_s * 1000))
    return [simulation.submit(step, NORMAL, team, "") for _ in range(count)]


def _pass(simulation, seconds):
    for _ in range(round(seconds / waiting_simulation.TICK_S)):
        simulation.tick()


def _waits_s(simulation, submitted_s):
    began_s = simulation.observer.began_s
    return [began_s.get(job_id, float("inf")) - came_s for job_id, came_s in submitted_s.items()]


async def test_small_team_begins_beside_a_burst(simulation):
    _submit(simulation, "large", 60)
    submitted_s = {}
    for _ in range(6):
        _pass(simulation, TASK_S)
        submitted_s |= dict.fromkeys(_submit(simulation, "small"), simulation.now_s)
    _pass(simulation, TASK_S + ROUNDS_S)
    assert max(_waits_s(simulation, submitted_s)) <= TASK_S + ROUNDS_S


async def test_small_team_begins_beside_a_burst_under_a_new_lead(simulation):
    """What runs is known from the records, so that the burst has its share from the first round."""
    _submit(simulation, "large", 60)
    _pass(simulation, TASK_S)
    submitted_s = dict.fromkeys(_submit(simulation, "small"), simulation.now_s)
    simulation.lose_lead(len(simulation.tasks_writer.queue), 0.5)
    _pass(simulation, TASK_S + ROUNDS_S + 0.5)
    assert max(_waits_s(simulation, submitted_s)) <= TASK_S + ROUNDS_S + 0.5


async def test_shown_teams_are_bounded(simulation):
    for number in range(2 * contention.SHOWN_TEAMS_MAX):
        _submit(simulation, f"team-{number}", 4, duration_s=30.0)
    for _ in range(20):
        _submit(simulation, "team-0", 4, duration_s=30.0)
        _pass(simulation, TASK_S)
    shown = simulation.events.metrics.exposition().decode().count("share_ahead_s/pool/")
    assert 1 <= shown <= contention.SHOWN_TEAMS_MAX


async def test_backlog_is_published_and_withdrawn(simulation):
    jobs = _submit(simulation, "large", 60)
    _pass(simulation, 2.0)
    waits = simulation.view.room.pools[0].waits
    assert waits[3].accelerators_s > 0
    assert waits[0].accelerators_s == 0
    for job_id in jobs:
        simulation.cancel(job_id)
    _pass(simulation, 3.0)
    assert simulation.view.room.pools[0].waits == ()


async def test_new_lead_publishes_the_room_under_its_own_epoch(simulation):
    _submit(simulation, "large", 60)
    _pass(simulation, 2.0)
    former = simulation.view.room
    simulation.lose_lead(len(simulation.tasks_writer.queue), 0.5)
    _pass(simulation, 3.0)
    assert simulation.view.room.epoch == former.epoch + 1
    assert len(records.encode(records.ROOM_KEY, simulation.view.room).value) < 512
    assert simulation.view.room.pools[0].pool == simulated_workers.POOL
