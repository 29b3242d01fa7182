"""Results whose records the store refuses."""

import pytest

from papayaspar_jobs import registries, specs

pytestmark = pytest.mark.anyio

# Larger than the records of the lead and of a job's state, smaller than those of tasks.
RECORD_BYTES_MAX = 100


# Guards against a result that is forgotten by its worker, while the next lead reads that the task
# still runs, and starts it again.
async def test_result_that_can_not_be_stored_is_not_acknowledged(start_cluster, make_job):
    async with start_cluster() as cluster:
        job = make_job(1, specs.Step(1), specs.Step(1, after=(0,)))
        first, _ = await cluster.start_single_task(job, 0.5)
        second = await cluster.add_entry("entry-2")
        await cluster.wait_until(lambda: second.follower.is_loaded)
        stored_bytes_max = cluster.log.record_bytes_max
        cluster.log.record_bytes_max = RECORD_BYTES_MAX
        await cluster.wait_until(lambda: bool(cluster.run_recorder.done))
        await cluster.sleep(1.0)
        assert first.election.is_lead
        assert first.election.scheduler.link("node-1").acknowledged == {}
        first.scope.cancel()
        cluster.log.record_bytes_max = stored_bytes_max
        await cluster.wait_until(lambda: cluster.phase(job.job_id) is registries.JobPhase.SUCCEEDED)
        assert cluster.run_recorder.restarts == []


# Guards against results that are never acknowledged after the store refused their records once.
async def test_refused_record_of_a_result_is_stored_later(start_cluster, make_job):
    async with start_cluster() as cluster:
        job = make_job(1, specs.Step(1), specs.Step(1, after=(0,)))
        entry, _ = await cluster.start_single_task(job, 0.5)
        stored_bytes_max = cluster.log.record_bytes_max
        cluster.log.record_bytes_max = RECORD_BYTES_MAX
        await cluster.wait_until(lambda: bool(cluster.run_recorder.done))
        await cluster.sleep(0.5)
        cluster.log.record_bytes_max = stored_bytes_max
        link = entry.election.scheduler.link("node-1")
        await cluster.wait_until(lambda: cluster.phase(job.job_id) is registries.JobPhase.SUCCEEDED)
        await cluster.wait_until(lambda: 2 in link.acknowledged.values(), timeout_s=5.0)
        assert cluster.run_recorder.restarts == []
