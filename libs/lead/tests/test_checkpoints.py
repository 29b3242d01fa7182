"""Checkpoints after all VMs lose power while checkpointed tasks run."""

import pytest

from papayaspar_jobs import specs, tasks

pytestmark = pytest.mark.anyio


async def test_new_lead_resumes_from_a_stored_checkpoint(start_cluster, make_job):
    """Runs restarted from the beginning when only the former lead held their checkpoints.

    Seen on the simulated day kowhai-spar inc-85a2.
    """
    step = specs.Step(1, specs.Resources(1000, 100, 1), 30_000, is_checkpointed=True)
    key = tasks.TaskKey(make_job(1).job_id, 0, 0, 0)
    async with start_cluster() as cluster:
        lead = await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.run_time_s, agent.worker.saves_progress = 30.0, True
        cluster.submit(make_job(1, step))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 1)
        await cluster.wait_until(lambda: bool(cluster.stored_task(key).checkpoint))
        lead.scope.cancel()
        agent.scope.cancel()
        agent.worker.crash()
        await cluster.add_agent("node-1", agent.worker)
        await cluster.add_entry("entry-2")
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2)
        assert cluster.run_recorder.checkpoints[key, 2].startswith("1-")
