"""A run of a gang counts as one failed attempt, however many of its members end as failed."""

import pytest

from papayaspar_jobs import registries, specs, tasks
from papayaspar_standin import memory_workers

pytestmark = pytest.mark.anyio

# Each member takes the whole worker, so that the members of a gang run on different ones.
MEMBER = specs.Resources(1000, 100, 8)
GANG = specs.Step(3, MEMBER, 400, is_gang=True)
LONG_GANG = specs.Step(3, MEMBER, 30_000, is_gang=True)
NODES = ("node-1", "node-2", "node-3")
RUN_TIME_S = 0.4
# Run time of the member that ends after a new lead has taken over, in seconds.
LAST_RUN_TIME_S = 4.0
FINAL_PHASES = (registries.JobPhase.SUCCEEDED, registries.JobPhase.FAILED)


async def _start_failing_gang(cluster, spec, job_queue):
    """Start a gang on workers that fail each run, and return when its first run has started."""
    await cluster.add_entry("entry-1")
    for node in NODES:
        agent = await cluster.add_agent(node)
        agent.worker.run_time_s = RUN_TIME_S
        agent.worker.fault = memory_workers.WorkerFault.FAILS
    cluster.configure(job_queue)
    cluster.submit(spec, job_queue)
    await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == len(NODES))


def _repair_workers(cluster):
    """Let the runs that start from now on succeed."""
    for agent in cluster.agents.values():
        agent.worker.fault = memory_workers.WorkerFault.NONE


def _runs_started(cluster):
    return sorted({run for _, run, _ in cluster.run_recorder.starts})


# Guards against a job that is shown as failed while it has attempts left, since each of several
# members that failed in one run of its gang counted as an attempt.
async def test_gang_whose_members_fail_together_has_attempts_left(
    start_cluster, make_job, make_queue
):
    async with start_cluster() as cluster:
        await _start_failing_gang(cluster, make_job(1, GANG), make_queue(attempts=2))
        _repair_workers(cluster)
        await cluster.wait_until(lambda: cluster.phase(make_job(1).job_id) in FINAL_PHASES)
        assert cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        assert _runs_started(cluster) == [1, 2]


# Guards against a new lead that counts a run again when it is told of the members that failed
# after the one whose failure the former lead had stored.
async def test_new_lead_does_not_count_the_other_members_of_a_failed_run(
    start_cluster, make_job, make_queue
):
    async with start_cluster() as cluster:
        first_key = tasks.TaskKey(make_job(1).job_id, 0, 0, 0)
        await cluster.add_entry("entry-1")
        for node in NODES:
            agent = await cluster.add_agent(node)
            agent.worker.run_time_s = RUN_TIME_S if node == NODES[0] else LAST_RUN_TIME_S
            agent.worker.fault = memory_workers.WorkerFault.FAILS
        cluster.configure(make_queue(attempts=2))
        cluster.submit(make_job(1, GANG), make_queue(attempts=2))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == len(NODES))
        _repair_workers(cluster)
        await cluster.wait_until(
            lambda: any(
                cluster.stored_task(tasks.TaskKey(first_key.job_id, 0, 0, index)).failures
                for index in range(len(NODES))
            )
        )
        cluster.entries["entry-1"].scope.cancel()
        await cluster.add_entry("entry-2")
        cluster.configure(make_queue(attempts=2))
        await cluster.wait_until(lambda: cluster.phase(first_key.job_id) in FINAL_PHASES)
        assert cluster.phase(first_key.job_id) is registries.JobPhase.SUCCEEDED
        assert _runs_started(cluster) == [1, 2]


# Guards against a gang that waits for its whole estimate beside idle workers, since its members
# failed together on all the workers that could run it.
async def test_gang_whose_members_fail_together_on_all_workers_runs_there_again(
    start_cluster, make_job, make_queue
):
    async with start_cluster() as cluster:
        await _start_failing_gang(cluster, make_job(1, LONG_GANG), make_queue(attempts=2))
        _repair_workers(cluster)
        await cluster.wait_until(lambda: _runs_started(cluster) == [1, 2], timeout_s=10.0)
        await cluster.wait_until(lambda: cluster.phase(make_job(1).job_id) in FINAL_PHASES)
        assert cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED


@pytest.mark.parametrize("attempts", [1, 2, 3])
async def test_gang_that_fails_all_its_attempts_is_shown_as_failed(
    start_cluster, make_job, make_queue, attempts
):
    async with start_cluster() as cluster:
        job_queue = make_queue(attempts=attempts)
        await _start_failing_gang(cluster, make_job(1, GANG), job_queue)
        await cluster.wait_until(lambda: cluster.phase(make_job(1).job_id) in FINAL_PHASES)
        await cluster.sleep(1.0)
        assert cluster.phase(make_job(1).job_id) is registries.JobPhase.FAILED
        assert _runs_started(cluster) == list(range(1, attempts + 1))
