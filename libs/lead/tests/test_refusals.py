"""Agents that refuse starts for what the lead does not see."""

import pytest

from papayaspar_jobs import books, tasks
from papayaspar_standin import memory_workers

pytestmark = pytest.mark.anyio


async def test_agent_that_refuses_is_not_asked_again_at_once(running, make_job):
    """Found by the soak, seed 10: 2,200 attempts at one task in a minute."""
    async with running() as site:
        await site.add_entry("entry-1")
        agent = await site.add_agent("node-1")
        await site.until(lambda: agent.keeper.state().is_answering)
        agent.worker.fault = memory_workers.WorkerFault.FULL
        site.submit(make_job(1))
        await site.wait_s(2.0)
        key = tasks.TaskKey(make_job(1).job_id, 0, 0, 0)
        assert 1 <= site.stored_task(key).run <= 5
        agent.worker.fault = memory_workers.WorkerFault.NONE
        await site.until(lambda: site.phase(make_job(1).job_id) is books.JobPhase.SUCCEEDED)
