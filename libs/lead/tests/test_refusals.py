"""Agents that refuse starts for reasons that the lead can't see."""

import pytest

from papayaspar_jobs import registries, tasks
from papayaspar_standin import memory_workers

pytestmark = pytest.mark.anyio


async def test_agent_is_sent_no_start_immediately_after_a_refusal(start_cluster, make_job):
    """The lead made 2,200 attempts at one task in a minute (found by the soak, seed 10)."""
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        await cluster.wait_until(lambda: agent.controller.state().is_answering)
        agent.worker.fault = memory_workers.WorkerFault.FULL
        cluster.submit(make_job(1))
        await cluster.sleep(2.0)
        key = tasks.TaskKey(make_job(1).job_id, 0, 0, 0)
        assert 1 <= cluster.stored_task(key).run <= 5
        agent.worker.fault = memory_workers.WorkerFault.NONE
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
