"""A busy fleet of two data centres, of which one is evacuated while more work waits than fits.

Two of five workers stand in the evacuated data centre. Jobs of all ranks keep coming, so that every
free accelerator is wanted at once. Thresholds: `reclaim_ms` for guaranteed work; for other work
what is free elsewhere is used at once.
"""

import loguru
import pytest

from papayaspar_events import journal
from papayaspar_jobs import specs, tasks

from . import simulated_lead, simulated_workers, waiting_simulation

pytestmark = pytest.mark.anyio

URGENT, NORMAL, BULK = waiting_simulation.QUEUES
ONE = specs.Resources(1000, 1000, 1)
WHOLE = simulated_workers.CAPACITY
EVACUATED, OTHER = "dc-a", "dc-b"
EVACUATED_NODES = frozenset(simulated_workers.NODES[:2])
BOUND_S = 5.0
RECLAIM_S = 2.7
WARM_UP_S = 8.0


class StartRecorder(simulated_lead.Observer):
    """Records the VMs of each unit that starts, and how runs end."""

    def __init__(self):
        self.nodes = []
        self.ends = []

    def note_start(self, unit):
        self.nodes += [task.record.node for task in unit.members]

    def note_end(self, node, task, kind, now_s):
        self.ends.append((node, kind))


@pytest.fixture
async def simulation():
    """Return a fleet of two data centres, while the journal writes no lines."""
    loguru.logger.disable(journal.__name__)
    fleet = waiting_simulation.Simulation(StartRecorder(), evacuation_s=BOUND_S)
    for node, worker in fleet.workers.items():
        worker.data_centre = EVACUATED if node in EVACUATED_NODES else OTHER
    fleet.tick()
    yield fleet
    loguru.logger.enable(journal.__name__)


def _pass(simulation, seconds):
    for _ in range(round(seconds / waiting_simulation.TICK_S)):
        simulation.tick()


def _submit(simulation, step, queue=NORMAL, team="other"):
    return simulation.submit(step, queue, team, "")


def _fill(simulation, estimate_ms, queue=BULK):
    """Fill all workers with tasks of one accelerator, and return when they run."""
    _submit(simulation, specs.Step(40, ONE, estimate_ms), queue)
    _pass(simulation, 1.0)
    assert all(len(worker.runs) == 8 for worker in simulation.workers.values())


def _starts_since(simulation, count):
    return simulation.observer.nodes[count:]


def _running_nodes(simulation, job_id):
    return {
        node
        for node, worker in simulation.workers.items()
        if any(key.job_id == job_id for key, _ in worker.runs)
    }


async def test_nothing_starts_there_and_what_runs_there_ends_there(simulation):
    _fill(simulation, 4000)
    _submit(simulation, specs.Step(200, ONE, 1500))
    started_count = len(simulation.observer.nodes)
    simulation.evacuations.begin(EVACUATED)
    _pass(simulation, 10.0)
    started_nodes = _starts_since(simulation, started_count)
    assert len(started_nodes) > 48
    assert EVACUATED_NODES.isdisjoint(started_nodes)
    assert all(not simulation.workers[node].runs for node in EVACUATED_NODES)
    ends = [kind for node, kind in simulation.observer.ends if node in EVACUATED_NODES]
    assert ends == [tasks.EndKind.DONE] * 16


async def test_nothing_starts_while_all_data_centres_are_evacuated(simulation):
    simulation.evacuations.begin(EVACUATED)
    simulation.evacuations.begin(OTHER)
    _submit(simulation, specs.Step(8, ONE, 1000))
    _pass(simulation, 10.0)
    assert simulation.observer.nodes == []
    simulation.evacuations.end(OTHER)
    _pass(simulation, 1.0)
    assert len(simulation.observer.nodes) == 8
    assert EVACUATED_NODES.isdisjoint(simulation.observer.nodes)


async def test_guaranteed_work_gets_room_elsewhere_and_nothing_is_stopped_there(simulation):
    _fill(simulation, 60_000)
    simulation.evacuations.begin(EVACUATED)
    simulation.tick()
    job_id = _submit(simulation, specs.Step(2, WHOLE, 5000), URGENT, "guaranteed")
    _pass(simulation, RECLAIM_S)
    assert len(_running_nodes(simulation, job_id) - EVACUATED_NODES) == 2
    assert all(len(simulation.workers[node].runs) == 8 for node in EVACUATED_NODES)


async def test_claims_lie_in_what_is_left(simulation):
    _fill(simulation, 20_000)
    simulation.evacuations.begin(EVACUATED)
    _submit(simulation, specs.Step(1, WHOLE, 5000), NORMAL)
    simulation.tick()
    free = simulation.planner.free
    claimed = {worker.node for worker in free.workers() if free.is_claimed(worker.node)}
    assert len(claimed) == 1
    assert claimed.isdisjoint(EVACUATED_NODES)


async def test_start_in_progress_is_called_back_and_its_gang_starts_elsewhere_as_a_whole(
    simulation,
):
    simulation.start_delay_s = 1.0
    gang = specs.Step(4, WHOLE, 5000, is_gang=True)
    job_id = _submit(simulation, gang)
    simulation.tick()
    started = simulation.observer.nodes
    assert len(started) == 4
    assert not EVACUATED_NODES.isdisjoint(started)
    simulation.evacuations.begin(EVACUATED)
    _pass(simulation, 3.0)
    assert _running_nodes(simulation, job_id) == set()
    small_job_id = _submit(simulation, specs.Step(3, WHOLE, 5000, is_gang=True), URGENT)
    _pass(simulation, 2.0)
    assert len(_running_nodes(simulation, small_job_id)) == 3
    assert _running_nodes(simulation, job_id) == set()
    simulation.evacuations.end(EVACUATED)
    _pass(simulation, 8.0)
    assert len(_running_nodes(simulation, job_id)) == 4


async def test_gang_that_runs_across_data_centres_is_left_alone(simulation):
    job_id = _submit(simulation, specs.Step(5, WHOLE, 6000, is_gang=True))
    _pass(simulation, 1.0)
    assert len(_running_nodes(simulation, job_id)) == 5
    simulation.evacuations.begin(EVACUATED)
    _pass(simulation, 4.0)
    assert len(_running_nodes(simulation, job_id)) == 5


async def test_work_of_a_draining_worker_does_not_move_there(simulation):
    """The only idle workers are those of the evacuated data centre."""
    simulation.evacuations.begin(EVACUATED)
    job_id = _submit(simulation, specs.Step(3, WHOLE, 60_000))
    _pass(simulation, 1.0)
    nodes = _running_nodes(simulation, job_id)
    assert len(nodes) == 3
    assert EVACUATED_NODES.isdisjoint(nodes)
    simulation.drain(simulation.workers["node-4"])
    _pass(simulation, 3.0)
    assert _running_nodes(simulation, job_id) == nodes
    simulation.evacuations.end(EVACUATED)
    _pass(simulation, 1.5)
    assert "node-4" not in _running_nodes(simulation, job_id)
    assert not EVACUATED_NODES.isdisjoint(_running_nodes(simulation, job_id))


async def test_work_of_a_worker_that_drains_there_moves_to_what_is_left(simulation):
    job_id = _submit(simulation, specs.Step(2, WHOLE, 60_000))
    _pass(simulation, 1.0)
    assert _running_nodes(simulation, job_id) == EVACUATED_NODES
    simulation.evacuations.begin(EVACUATED)
    simulation.drain(simulation.workers["node-0"])
    _pass(simulation, 3.0)
    nodes = _running_nodes(simulation, job_id)
    assert "node-1" in nodes
    assert len(nodes - EVACUATED_NODES) == 1


async def test_work_of_workers_without_power_starts_in_what_is_left(simulation):
    _fill(simulation, 6000)
    simulation.evacuations.begin(EVACUATED)
    started_count = len(simulation.observer.nodes)
    for node in ("node-2", "node-3"):
        simulation.leave(simulation.workers[node])
    _pass(simulation, 14.0)
    started_nodes = _starts_since(simulation, started_count)
    assert set(started_nodes) == {"node-4"}
    assert len(started_nodes) == 16


async def test_tasks_that_last_stay_where_they_are(simulation):
    lasting = specs.Step(40, ONE, 1000, is_lasting=True)
    job_id = _submit(simulation, lasting, BULK)
    _pass(simulation, 1.0)
    simulation.evacuations.begin(EVACUATED)
    _pass(simulation, 10.0)
    assert _running_nodes(simulation, job_id) == set(simulation.workers)
    assert len(simulation.observer.nodes) == 40


async def test_lead_that_reads_nothing_starts_and_stops_nothing_once_the_bound_is_over(simulation):
    _fill(simulation, 60_000)
    simulation.evacuations.read_age_s = BOUND_S
    job_id = _submit(simulation, specs.Step(2, WHOLE, 5000), URGENT, "guaranteed")
    _pass(simulation, 5.0)
    assert _running_nodes(simulation, job_id) == set()
    assert all(len(worker.runs) == 8 for worker in simulation.workers.values())
    simulation.evacuations.read_age_s = 0.0
    _pass(simulation, RECLAIM_S)
    assert len(_running_nodes(simulation, job_id)) == 2


async def test_deployment_without_a_bound_starts_work_however_old_its_knowledge_is():
    fleet = waiting_simulation.Simulation(StartRecorder())
    fleet.evacuations.read_age_s = float("inf")
    _submit(fleet, specs.Step(8, ONE, 1000))
    _pass(fleet, 1.0)
    assert len(fleet.observer.nodes) == 8


async def test_worker_of_an_unknown_data_centre_takes_nothing_during_an_evacuation(simulation):
    simulation.workers[simulated_workers.NODES[-1]].data_centre = ""
    simulation.tick()
    simulation.evacuations.begin(EVACUATED)
    _submit(simulation, specs.Step(40, ONE, 20_000))
    _pass(simulation, 2.0)
    assert set(simulation.observer.nodes) == {"node-2", "node-3"}


async def test_cold_workers_that_return_take_work_by_what_has_warmed_up(simulation):
    """After an evacuation, small tasks wait for a data centre that comes back cold."""
    simulation.evacuations.begin(EVACUATED)
    _submit(simulation, specs.Step(100, ONE, 60_000))
    _pass(simulation, 2.0)
    for node in EVACUATED_NODES:
        simulation.workers[node].cold_until_s = simulation.now_s + WARM_UP_S
    simulation.tick()
    simulation.evacuations.end(EVACUATED)
    while simulation.now_s < simulation.workers["node-0"].cold_until_s:
        simulation.tick()
        warm_ratio = (
            1.0 - (simulation.workers["node-0"].cold_until_s - simulation.now_s) / WARM_UP_S
        )
        for node in EVACUATED_NODES:
            assert 1 <= len(simulation.workers[node].runs) <= 1 + 8 * warm_ratio
    _pass(simulation, 1.0)
    assert all(len(simulation.workers[node].runs) == 8 for node in EVACUATED_NODES)


async def test_large_unit_runs_on_an_idle_cold_worker(simulation):
    for worker in simulation.workers.values():
        worker.cold_until_s = simulation.now_s + WARM_UP_S
    simulation.tick()
    _submit(simulation, specs.Step(5, WHOLE, 5000))
    _pass(simulation, 1.0)
    assert all(worker.runs for worker in simulation.workers.values())


async def test_guaranteed_work_starts_on_a_fleet_that_is_cold(simulation):
    """Small tasks within the guarantee begin in time, however much of the fleet is cold."""
    for worker in simulation.workers.values():
        worker.cold_until_s = simulation.now_s + 20.0
    simulation.tick()
    _submit(simulation, specs.Step(16, ONE, 60_000), URGENT, "guaranteed")
    _pass(simulation, RECLAIM_S)
    assert len(simulation.observer.nodes) == 16


async def test_deployment_without_a_bound_uses_cold_workers_as_warm_ones():
    fleet = waiting_simulation.Simulation(StartRecorder())
    for worker in fleet.workers.values():
        worker.cold_until_s = fleet.now_s + 20.0
    fleet.tick()
    _submit(fleet, specs.Step(40, ONE, 60_000))
    _pass(fleet, 1.0)
    assert len(fleet.observer.nodes) == 40
