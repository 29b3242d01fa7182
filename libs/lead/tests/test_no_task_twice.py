"""No task runs twice, and no end is forgotten, whatever becomes of lead, store, agent or worker."""

import anyio
import attrs
import pytest

from papayaspar_jobs import books, specs, tasks
from papayaspar_runs import workers
from papayaspar_standin import keyed_stores, memory_workers

pytestmark = pytest.mark.anyio


async def test_end_is_not_acknowledged_before_it_is_stored(running, make_job):
    """Seen on booth-cloud trouble-1: a second report of an end acknowledged it unrecorded."""
    async with running() as site:
        lead, agent = await site.start_one(make_job(1), 0.6)
        lead.store.fault = keyed_stores.StoreFault.BUSY
        await site.add_entry("entry-2")
        await site.until(lambda: bool(site.witness.done))
        agent.keeper.changes.changed()
        await site.until(lambda: site.entries["entry-2"].election.is_lead)
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.SUCCEEDED)
        assert len(site.witness.starts) == 1
        assert site.witness.restarts == []


async def test_end_that_was_not_taken_in_is_not_acknowledged(running, make_job):
    """Seen on kowhai-spar mix 493746742155 (TWICE): a report under a token not yet confirmed."""
    async with running() as site:
        lead, _ = await site.start_one(make_job(1), 60.0)
        link = lead.election.held.link("node-1")
        await site.until(lambda: bool(link.state.runs))
        key = tasks.TaskKey(make_job(1).job_id, 0, 0, 0)
        end = workers.EndRow(1, key, 1, tasks.EndKind.DONE)
        told = attrs.evolve(link.state, is_answering=False, runs=(), ends=(end,))
        lead.election.held.state_changed(link, told)
        await anyio.sleep(0.2)
        assert link.acknowledged == {}


async def test_killed_lead_is_replaced_and_its_tasks_run_on(running, make_job):
    async with running() as site:
        lead, _ = await site.start_one(make_job(1), 4.0)
        await site.add_entry("entry-2")
        lead.scope.cancel()
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.SUCCEEDED)
        assert len(site.witness.starts) == 1


async def test_killed_agent_renews_the_lease_in_time(running, make_job):
    async with running() as site:
        _, agent = await site.start_one(make_job(1), 9.0)
        agent.scope.cancel()
        await site.add_agent("node-1", agent.worker)
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.SUCCEEDED)
        assert len(site.witness.starts) == 1


async def test_start_that_is_carried_out_late_is_not_run_beside_another(running, make_job):
    async with running() as site:
        await site.add_entry("entry-1")
        first = await site.add_agent("node-1")
        await site.until(lambda: site.lead() != "")
        first.worker.fault = memory_workers.WorkerFault.LATE
        site.submit(make_job(1))
        await site.add_agent("node-2")
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.SUCCEEDED)
        assert site.witness.overlaps == []
        assert site.witness.restarts == []


async def test_gang_is_whole_though_a_start_got_no_answer(running, make_job):
    """Load: a third of the orders to workers get no answer (deploy/days/answers-lost)."""
    gang = specs.Step(3, specs.Room(1000, 100, 1), 200, is_gang=True)
    async with running() as site:
        await site.add_entry("entry-1")
        agent = await site.add_agent("node-1")
        await site.until(lambda: site.lead() != "")
        agent.worker.late_starts = 1
        site.submit(make_job(1, gang))
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.SUCCEEDED)
        assert {run for _, run, _ in site.witness.starts} == {1}
        assert len(site.witness.starts) == 3


async def test_task_of_an_unreachable_agent_waits_for_its_lease(running, make_job):
    async with running() as site:
        _, first = await site.start_one(make_job(1), 60.0)
        first.scope.cancel()
        first.worker.fault = memory_workers.WorkerFault.SILENT
        second = await site.add_agent("node-2")
        await site.until(lambda: len(site.witness.starts) == 2, timeout_s=40.0)
        # The silent worker notes its lapse only when it is looked at.
        assert first.worker.clock_ms() >= first.worker.expiry_ms
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.SUCCEEDED)
        assert second.worker.name == "node-2"


async def test_task_of_a_silent_worker_runs_elsewhere_after_its_lease(running, make_job):
    """Found by deploy/days/workers-reborn (LOST): looks to a dead worker put its lapse off."""
    async with running() as site:
        _, first = await site.start_one(make_job(1), 60.0)
        first.worker.fault = memory_workers.WorkerFault.SILENT
        await site.add_agent("node-2")
        await site.until(lambda: len(site.witness.starts) == 2)
        assert first.worker.clock_ms() >= first.worker.expiry_ms


@pytest.mark.parametrize("clock_back_ms", [0, 5000])
async def test_crashed_worker_loses_its_task_to_another_run(running, make_job, clock_back_ms):
    """A clock that was set back makes the new life look older than the former one."""
    async with running() as site:
        _, agent = await site.start_one(make_job(1), 60.0)
        agent.worker.run_time_s = 0.1
        agent.worker.crash(clock_back_ms)
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.SUCCEEDED)
        assert len(site.witness.starts) == 2
        assert site.witness.overlaps == []


async def test_lead_without_answers_of_the_store_writes_each_record_once(running, make_job):
    async with running() as site:
        lead = await site.add_entry("entry-1")
        await site.add_agent("node-1")
        await site.until(lambda: site.lead() != "")
        lead.store.fault = keyed_stores.StoreFault.LOST
        site.submit(make_job(1))
        await site.until(lambda: lead.store.append_count > 6)
        lead.store.heal()
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.SUCCEEDED)
        assert len(site.witness.starts) == 1


async def test_cancelled_job_is_stopped_and_starts_no_more(running, make_job):
    async with running() as site:
        await site.start_one(make_job(1), 60.0)
        site.cancel(make_job(1).job_id)
        await site.until(lambda: not any(site.witness.running.values()))
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.CANCELLED)
        assert len(site.witness.starts) == 1


async def test_history_that_is_dropped_takes_no_job_away(running, make_job):
    async with running() as site:
        await site.add_entry("entry-1")
        await site.add_agent("node-1")
        site.submit(make_job(1))
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.SUCCEEDED)
        for partition in site.log.partitions():
            site.log.drop_history(partition)
        site.submit(make_job(2))
        await site.until(lambda: site.phase(make_job(2).job_id) is books.JobPhase.SUCCEEDED)
        assert len(site.witness.starts) == 2


async def test_room_of_a_cancelled_task_is_taken_until_it_has_ended(running, make_job):
    """Seen on kowhai-spar trouble-3 (LIMIT): a new lead did not count what it did not schedule."""
    whole = specs.Step(1, specs.Room(1000, 100, 8), 200)
    async with running() as site:
        lead = await site.add_entry("entry-1")
        agent = await site.add_agent("node-1")
        agent.worker.run_time_s, agent.worker.stop_time_s = 60.0, 6.0
        site.submit(make_job(1, whole))
        await site.until(lambda: len(site.witness.starts) == 1)
        site.cancel(make_job(1).job_id)
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.CANCELLED)
        lead.scope.cancel()
        agent.scope.cancel()
        agent.worker.run_time_s = 0.2
        site.submit(make_job(2, whole))
        await site.add_agent("node-1", agent.worker)
        await site.add_entry("entry-2")
        await site.until(lambda: len(site.witness.starts) == 2)
        assert [worker for worker in site.witness.running.values() if worker] == [{"node-1"}]


async def test_run_that_goes_on_in_a_new_life_is_not_given_to_another_worker(running, make_job):
    """Found by the soak, seed 31: an order may reach the next life of a worker with the same id."""
    async with running() as site:
        lead, _ = await site.start_one(make_job(1), 60.0)
        link = lead.election.held.link("node-1")
        await site.until(lambda: bool(link.state.runs))
        key = tasks.TaskKey(make_job(1).job_id, 0, 0, 0)
        newer = attrs.evolve(link.state.incarnation, born_ms=link.state.incarnation.born_ms + 1)
        told = attrs.evolve(link.state, incarnation=newer)
        await site.add_agent("node-2")
        lead.election.held.state_changed(link, told)
        await site.until(lambda: site.stored_task(key).incarnation == newer)
        await anyio.sleep(0.3)
        assert len(site.witness.starts) == 1
