"""Gangs on workers that all fail what they start for some seconds."""

import pytest

from papayaspar_jobs import registries, specs
from papayaspar_standin import memory_workers

GANG = specs.Step(3, specs.Resources(1000, 100, 8), 5000, is_gang=True)
NODES = ("node-1", "node-2", "node-3")
# Time in which the workers fail all they start, in seconds; an impairment lasts 3 to 12 s.
SPELL_S = 3.0


# Guards against a job that is shown as failed although it could be done: its gang uses up its
# attempts on workers that all fail what they start for some seconds.
@pytest.mark.anyio
async def test_gang_has_attempts_left_after_workers_failed_all_for_seconds(
    start_cluster, make_job, make_queue
):
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        for node in NODES:
            agent = await cluster.add_agent(node)
            agent.worker.run_time_s = 0.4
            agent.worker.fault = memory_workers.WorkerFault.FAILS
        cluster.configure(make_queue(attempts=2))
        cluster.submit(make_job(1, GANG), make_queue(attempts=2))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == len(NODES))
        await cluster.sleep(SPELL_S)
        for agent in cluster.agents.values():
            agent.worker.fault = memory_workers.WorkerFault.NONE
        final = (registries.JobPhase.SUCCEEDED, registries.JobPhase.FAILED)
        await cluster.wait_until(lambda: cluster.phase(make_job(1).job_id) in final)
        assert cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
