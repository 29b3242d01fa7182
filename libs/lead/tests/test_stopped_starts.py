"""Stops that meet a start in progress."""

import attrs
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


# Guards against a stop that nobody carried out and the lead took for accepted: while a check-in and
# a poll disagreed on the worker's incarnation, it was read as one that had lost the run (issue 32).
async def test_stop_while_the_incarnation_is_unknown_is_ordered_again(start_cluster, make_job):
    async with start_cluster() as cluster:
        _, agent = await cluster.start_single_task(make_job(1), 60.0)
        heartbeat = agent.worker.heartbeat
        agent.worker.heartbeat = lambda sequence: attrs.evolve(
            heartbeat(sequence), born_ms=agent.worker.born_ms + 1000
        )
        await cluster.wait_until(lambda: agent.controller.incarnation is None)
        cluster.cancel(make_job(1).job_id)
        await cluster.sleep(0.5)
        agent.worker.heartbeat = heartbeat
        await cluster.wait_until(lambda: not any(cluster.run_recorder.running.values()), 3.0)
