"""Jobs with thousands of tasks or occurrences: planning rounds stay shorter than a leadership."""

import time

import anyio
import pytest

from papayaspar_jobs import registries, specs
from papayaspar_store import records

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


def _slow_snapshot(read_snapshot):
    async def read(partition):
        if partition == records.TASKS_PARTITION:
            await anyio.sleep(3.0)
        return await read_snapshot(partition)

    return read
