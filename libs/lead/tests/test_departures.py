"""Workers that say that they leave, and then do."""

import pytest

from papayaspar_jobs import books, specs
from papayaspar_runs import workers
from papayaspar_standin import keyed_stores

pytestmark = pytest.mark.anyio


async def _drain(site, agent):
    agent.worker.condition = workers.Condition.DRAINING
    await site.until(lambda: agent.keeper.state().heartbeat.condition is agent.worker.condition)


def _leave(agent):
    agent.worker.leave()
    agent.keeper.take_deregistration(agent.worker.name)


def _has_succeeded(site, spec):
    return site.phase(spec.job_id) is books.JobPhase.SUCCEEDED


async def test_tasks_of_a_worker_that_left_start_elsewhere_before_its_lease_runs_out(
    running, make_job
):
    async with running() as site:
        _, first = await site.start_one(make_job(1), 60.0)
        await site.add_agent("node-2")
        await _drain(site, first)
        _leave(first)
        await site.until(lambda: len(site.witness.starts) == 2, timeout_s=3.0)
        await site.until(lambda: _has_succeeded(site, make_job(1)))
        assert site.witness.overlaps == []


async def test_end_that_a_lead_without_the_store_took_in_outlives_its_worker(running, make_job):
    """Seen on kowhai-spar scale-2: the next lead waited 18 s for a lease, then ran the task anew.

    The worker leaves, its machine a second later, and only then is there another lead.
    """
    async with running() as site:
        lead, leaving = await site.start_one(make_job(1), 1.0)
        await _drain(site, leaving)
        lead.store.fault = keyed_stores.StoreFault.BUSY
        await site.until(lambda: bool(site.witness.done))
        await site.wait_s(0.3)
        _leave(leaving)
        await site.wait_s(1.5)
        leaving.scope.cancel()
        await site.add_agent("node-2")
        await site.add_entry("entry-2")
        await site.until(lambda: _has_succeeded(site, make_job(1)), timeout_s=12.0)
        assert len(site.witness.starts) == 1


def _long_step(**changes):
    return specs.Step(1, specs.Room(1000, 100, 8), 30_000, **changes)


async def test_unsaved_work_stays_on_a_leaving_worker_until_there_is_room(running, make_job):
    """Seen on kowhai-spar scale-2: runs of 30 s were stopped 3.5 s early, and then waited."""
    async with running() as site:
        _, first = await site.start_one(make_job(1, _long_step()), 30.0)
        await _drain(site, first)
        await site.wait_s(1.0)
        assert len(first.keeper.state().runs) == 1
        await site.add_agent("node-2")
        await site.until(lambda: len(site.witness.starts) == 2, timeout_s=5.0)
        assert site.witness.overlaps == []


@pytest.mark.parametrize(
    ("priority", "is_checkpointed"), [(0, False), (1, True)], ids=["urgent", "checkpointed"]
)
async def test_work_that_goes_on_elsewhere_is_stopped_at_once(
    running, make_job, make_queue, priority, is_checkpointed
):
    async with running() as site:
        queue = make_queue(priority=priority)
        spec = make_job(1, _long_step(is_checkpointed=is_checkpointed))
        _, first = await site.start_one(spec, 30.0, queue)
        await _drain(site, first)
        await site.until(lambda: not first.keeper.state().runs, timeout_s=3.0)


async def test_word_of_a_former_life_ends_nothing(running, make_job):
    async with running() as site:
        _, agent = await site.start_one(make_job(1), 60.0)
        agent.keeper.take_deregistration(agent.worker.name)
        await site.wait_s(1.5)
        assert agent.keeper.departure is None
        assert len(site.witness.starts) == 1


async def test_worker_that_answers_after_all_has_not_left(running):
    async with running() as site:
        await site.add_entry("entry-1")
        agent = await site.add_agent("node-1")
        await site.until(lambda: agent.keeper.state().is_answering)
        await _drain(site, agent)
        agent.keeper.take_deregistration(agent.worker.name)
        await site.wait_s(1.5)
        assert agent.keeper.departure is None
