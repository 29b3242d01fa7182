"""Jobs with thousands of tasks or occurrences: planning rounds stay shorter than a leadership."""

import time

import anyio
import attrs
import pytest

from papayaspar_jobs import registries, specs, tasks
from papayaspar_lead import scheduling
from papayaspar_standin import keyed_stores
from papayaspar_store import failures, records

pytestmark = pytest.mark.anyio

# Five days of occurrences, one a minute.
OCCURRENCES = 7200
RECURRING_JOBS = 6
SMALL = specs.Resources(100, 16)


async def test_new_lead_starts_tasks_beside_jobs_that_recur_for_days(start_cluster, make_job):
    """A new lead created all tasks of five days, and no lead lasted until it had.

    Seen in case 2 of the review.
    """
    async with start_cluster() as cluster:
        lead = await cluster.add_entry("entry-1")
        await cluster.add_agent("node-1")
        schedule = specs.Schedule(OCCURRENCES, int(time.time() * 1000), 60_000)
        for number in range(RECURRING_JOBS):
            cluster.submit(make_job(number + 1, specs.Step(9, SMALL, 200), schedule=schedule))
        await cluster.wait_until(lambda: len(cluster.run_recorder.done) == RECURRING_JOBS * 9)
        await cluster.add_entry("entry-2")
        lead.scope.cancel()
        cluster.submit(make_job(99, specs.Step(1, SMALL, 200)))
        await cluster.wait_until(
            lambda: cluster.phase(make_job(99).job_id) is registries.JobPhase.SUCCEEDED, 15.0
        )
        assert cluster.run_recorder.restarts == []


async def test_leadership_is_renewed_while_the_stored_tasks_are_read(start_cluster, make_job):
    """Each entry's leadership expired before it had read the tasks of many jobs."""
    async with start_cluster() as cluster:
        epochs = []
        for node in ("entry-1", "entry-2"):
            entry = await cluster.add_entry(node)
            entry.store.read_snapshot = _slow_snapshot(entry.store.read_snapshot)
        await cluster.add_agent("node-1")
        cluster.submit(make_job(1))
        with anyio.fail_after(10.0):
            while cluster.phase(make_job(1).job_id) is not registries.JobPhase.SUCCEEDED:
                for entry in cluster.entries.values():
                    if entry.view.lead is not None:
                        epochs.append(entry.view.lead.epoch)
                await anyio.sleep(0.02)
        assert len(set(epochs)) == 1


async def test_lead_starts_other_jobs_beside_one_of_thousands_of_tasks(start_cluster, make_job):
    """One plain job of 2,000 tasks stopped all starts: no leadership outlasted a round."""
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        await cluster.add_entry("entry-2")
        for number in range(4):
            agent = await cluster.add_agent(f"node-{number}")
            agent.worker.run_time_s = 1.0
        await cluster.wait_until(lambda: cluster.lead() != "")
        lead = cluster.lead()
        cluster.submit(make_job(1, specs.Step(4000, SMALL, 1000)))
        cluster.submit(make_job(2, specs.Step(1, SMALL, 1000)))
        await cluster.wait_until(
            lambda: cluster.phase(make_job(2).job_id) is registries.JobPhase.SUCCEEDED, 20.0
        )
        await cluster.wait_until(lambda: len(cluster.run_recorder.done) >= 2000, 40.0)
        assert cluster.lead() == lead
        assert cluster.run_recorder.restarts == []


async def test_jobs_start_after_a_job_that_recurs_for_days_is_deleted(start_cluster, make_job):
    """The deletions of 90,720 task records were one append, which the store refused for ever.

    Seen in case 3 of the review.
    """
    async with start_cluster() as cluster:
        cluster.limits = scheduling.SchedulerLimits(6.0, retention_s=0.5)
        await cluster.add_entry("entry-1")
        await cluster.add_agent("node-1")
        schedule = specs.Schedule(10_080, int(time.time() * 1000), 60_000)
        recurring = make_job(1, specs.Step(9, SMALL, 200), schedule=schedule)
        cluster.submit(recurring)
        await cluster.wait_until(lambda: len(cluster.run_recorder.done) == 9)
        cluster.cancel(recurring.job_id)
        shared = cluster.log.partition(records.SHARED_PARTITION)
        job_key = records.JOB_PREFIX + recurring.job_id
        await cluster.wait_until(lambda: job_key not in shared.newest, 10.0)
        cluster.submit(make_job(2, specs.Step(1, SMALL, 200)))
        await cluster.wait_until(
            lambda: cluster.phase(make_job(2).job_id) is registries.JobPhase.SUCCEEDED, 10.0
        )
        stored = cluster.log.partition(records.TASKS_PARTITION).newest
        assert not [key for key in stored if recurring.job_id in key]


async def test_gang_of_which_some_records_were_stored_as_done_is_done(start_cluster, make_job):
    """The records of a gang may be in two appends, and the lead may be killed between them."""
    async with start_cluster() as cluster:
        lead = await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.run_time_s = 60.0
        spec = make_job(1, specs.Step(3, SMALL, 200, is_gang=True))
        cluster.submit(spec)
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 3)
        lead.scope.cancel()
        agent.scope.cancel()
        key = tasks.TaskKey(spec.job_id, 0, 0, 1)
        done = attrs.evolve(cluster.stored_task(key), phase=tasks.TaskPhase.DONE)
        record = records.encode(f"{records.TASK_PREFIX}{key}", done)
        cluster.log.append(keyed_stores.Append(records.TASKS_PARTITION, (record,), None, None))
        await cluster.add_entry("entry-2")
        await cluster.wait_until(
            lambda: cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED, 10.0
        )


async def test_job_whose_assignment_is_refused_by_the_store_holds_up_no_other(
    start_cluster, make_job
):
    """The writer repeated a refused append for ever, and everything waited for it."""
    async with start_cluster() as cluster:
        lead = await cluster.add_entry("entry-1")
        await cluster.add_agent("node-1")
        await cluster.wait_until(lambda: bool(cluster.lead()))
        refused = f"{records.TASK_PREFIX}{make_job(1).job_id}"
        lead.store.append = _refusing_append(lead.store.append, refused)
        cluster.submit(make_job(1))
        cluster.submit(make_job(2))
        await cluster.wait_until(
            lambda: cluster.phase(make_job(2).job_id) is registries.JobPhase.SUCCEEDED, 10.0
        )
        assert {start[0].job_id for start in cluster.run_recorder.starts} == {make_job(2).job_id}


def _refusing_append(append, prefix):
    async def refuse(partition, new_records, **arguments):
        if any(record.key.startswith(prefix) for record in new_records):
            raise failures.AppendRefusedError("refused with 400")
        return await append(partition, new_records, **arguments)

    return refuse


def _slow_snapshot(read_snapshot):
    async def read(partition):
        if partition == records.TASKS_PARTITION:
            await anyio.sleep(3.0)
        return await read_snapshot(partition)

    return read
