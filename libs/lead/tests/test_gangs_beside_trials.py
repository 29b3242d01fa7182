"""Gangs that failed on several workers, beside a worker on which another job failed."""

import pytest

from papayaspar_jobs import registries, specs, tasks
from papayaspar_standin import memory_workers

MEMBER = specs.Resources(1000, 100, 8)
NODES = tuple(f"node-{number}" for number in range(1, 7))
GANG = specs.Step(len(NODES), MEMBER, 30_000, is_gang=True)
FAILS, NONE = memory_workers.WorkerFault.FAILS, memory_workers.WorkerFault.NONE


# Guards against a gang that waits for its estimate beside idle workers: it failed on two of them,
# and the failure of a job that has ended left a third one on trial, which only other work ends.
@pytest.mark.anyio
async def test_gang_runs_again_beside_a_worker_on_trial(start_cluster, make_job, make_queue):
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        on_trial = await cluster.add_agent(NODES[-1])
        on_trial.worker.run_time_s = 0.1
        on_trial.worker.fault = FAILS
        cluster.configure(make_queue(attempts=1))
        cluster.submit(make_job(1, specs.Step(1, MEMBER, 30_000)), make_queue(attempts=1))
        failed, succeeded = registries.JobPhase.FAILED, registries.JobPhase.SUCCEEDED
        await cluster.wait_until(lambda: cluster.phase(make_job(1).job_id) is failed)
        on_trial.worker.fault = NONE
        for number, node in enumerate(NODES[:-1]):
            agent = await cluster.add_agent(node)
            agent.worker.run_time_s = 0.1
            agent.worker.fault = FAILS if number < 2 else NONE
        for agent in cluster.agents.values():
            # The other members make no progress before those that fail have ended.
            agent.worker.run_time_s = 0.1 if agent.worker.fault is FAILS else 60.0
        cluster.submit(make_job(2, GANG), make_queue(attempts=3))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 1 + len(NODES))
        failing = [agent for agent in cluster.agents.values() if agent.worker.fault is FAILS]
        await cluster.wait_until(lambda: not any(agent.worker._runs for agent in failing))
        for agent in cluster.agents.values():
            # The other members end with those that failed.
            for member in list(agent.worker._runs.values()):
                agent.worker._end_run(member, tasks.EndKind.BROKEN)
            agent.worker.run_time_s = 0.4
            agent.worker.fault = NONE
        await cluster.wait_until(
            lambda: cluster.phase(make_job(2).job_id) is succeeded, timeout_s=20.0
        )
