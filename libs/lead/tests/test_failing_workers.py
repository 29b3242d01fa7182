"""Workers that fail every run and say that they are healthy."""

import pytest

from papayaspar_jobs import registries, specs
from papayaspar_standin import memory_workers

pytestmark = pytest.mark.anyio

WORKERS = 8
FAILING_WORKERS = 3
# A failing worker ends its runs after this time, a sound one after the longer time, in seconds.
FAILING_RUN_TIME_S = 0.03
RUN_TIME_S = 0.8
# Run time of which an agent reports the progress before the end, in seconds.
REPORTED_RUN_TIME_S = 2.5


# Guards against a worker that draws the next task the faster the sooner it fails: jobs that could
# be done were shown as failed within 1.4 s (issue 17).
async def test_worker_that_fails_every_run_does_not_fail_a_job(start_cluster, make_job):
    step = specs.Step(80, specs.Resources(1000, 100, 1), 800)
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        for number in range(WORKERS):
            agent = await cluster.add_agent(f"node-{number}")
            agent.worker.run_time_s = RUN_TIME_S
            if number < FAILING_WORKERS:
                agent.worker.fault = memory_workers.WorkerFault.FAILS
                agent.worker.run_time_s = FAILING_RUN_TIME_S
        scheduler = cluster.entries["entry-1"].election
        await cluster.wait_until(
            lambda: scheduler.is_lead and len(scheduler.scheduler.attached_nodes()) == WORKERS
        )
        cluster.submit(make_job(1, step))
        await cluster.wait_until(
            lambda: (
                cluster.phase(make_job(1).job_id)
                in (registries.JobPhase.SUCCEEDED, registries.JobPhase.FAILED)
            )
        )
        assert cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED


# Guards against a gang that waits for other workers although those on which it ran are free again:
# a check of three tasks waited for 2.8 s after a failure of its own, and was 0.3 s late.
async def test_unit_that_failed_after_progress_restarts_on_its_worker(start_cluster, make_job):
    step = specs.Step(1, specs.Resources(1000, 100, 8), 30_000)
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.run_time_s = REPORTED_RUN_TIME_S
        agent.worker.fault = memory_workers.WorkerFault.FAILS
        cluster.submit(make_job(1, step))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 1)
        agent.worker.fault = memory_workers.WorkerFault.NONE
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2, timeout_s=5.0)
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
