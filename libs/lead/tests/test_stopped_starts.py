"""Stops that meet a start in progress."""

import pytest

from papayaspar_runs import workers
from papayaspar_standin import memory_workers

pytestmark = pytest.mark.anyio


async def _begin_unanswered_start(cluster, spec):
    """Submit a job whose start order the only worker leaves unanswered; return the agent."""
    entry = await cluster.add_entry("entry-1")
    agent = await cluster.add_agent("node-1")
    await cluster.wait_until(lambda: entry.election.is_lead)
    link = entry.election.scheduler.link
    await cluster.wait_until(lambda: link("node-1") is not None and link("node-1").worker.is_open)
    agent.worker.fault = memory_workers.WorkerFault.SILENT
    cluster.submit(spec)
    await cluster.sleep(0.4)
    return agent


async def test_task_does_not_start_after_its_job_was_cancelled(start_cluster, make_job):
    """The lead sent no stop for a start in progress, and the agent sent the start again."""
    async with start_cluster() as cluster:
        agent = await _begin_unanswered_start(cluster, make_job(1))
        cluster.cancel(make_job(1).job_id)
        await cluster.sleep(1.5)
        agent.worker.fault = memory_workers.WorkerFault.NONE
        await cluster.sleep(2.0)
        assert cluster.run_recorder.starts == []


async def test_task_does_not_start_on_a_worker_that_drains_meanwhile(start_cluster, make_job):
    async with start_cluster() as cluster:
        agent = await _begin_unanswered_start(cluster, make_job(1))
        agent.worker.condition = workers.Condition.DRAINING
        await cluster.sleep(1.5)
        agent.worker.fault = memory_workers.WorkerFault.NONE
        await cluster.sleep(2.0)
        assert cluster.run_recorder.starts == []
