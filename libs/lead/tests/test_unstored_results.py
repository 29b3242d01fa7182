"""Results whose records the store refuses."""

import pytest

from papayaspar_jobs import registries, specs
from papayaspar_store import records

pytestmark = pytest.mark.anyio

# Larger than the records of the lead and of a job's state, smaller than those of tasks.
RECORD_BYTES_MAX = 100
TASKS = 12


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


# Guards against writes that multiply while the store refuses results: each report of the worker
# began to send all of them again each second.
async def test_refused_results_are_sent_again_once_a_second(start_cluster, make_job, monkeypatch):
    async with start_cluster() as cluster:
        entry = await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.run_time_s = 8.0
        steps = (specs.Step(TASKS, specs.Resources(100, 100)), specs.Step(1, after=(0,)))
        cluster.submit(make_job(1, *steps))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == TASKS)
        cluster.log.record_bytes_max = RECORD_BYTES_MAX
        for run in list(agent.worker._runs.values()):
            run.end_s = 0.0
            await cluster.sleep(0.1)
        await cluster.sleep(1.0)
        append, sent_counts = entry.store.append, []

        async def count_records(partition, new_records, **options):
            if partition == records.TASKS_PARTITION:
                sent_counts.append(len(new_records))
            return await append(partition, new_records, **options)

        monkeypatch.setattr(entry.store, "append", count_records)
        await cluster.sleep(2.0)
        # An append of several records that is refused is sent again one record at a time.
        assert sum(sent_counts) <= 3 * 2 * TASKS
