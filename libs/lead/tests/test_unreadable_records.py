"""Tasks whose stored records a new lead can't read."""

import anyio
import pytest

from papayaspar_jobs import registries, tasks
from papayaspar_standin import keyed_stores
from papayaspar_store import records, stores

pytestmark = pytest.mark.anyio

DEAD_ADDRESS = "127.0.0.1:9"
UNREADABLE = b"\xc1"


async def _replace_lead(cluster, former, spec):
    """End the lead, damage the record of a job's first task, and start another entry."""
    former.scope.cancel()
    key = f"{records.TASK_PREFIX}{tasks.TaskKey(spec.job_id, 0, 0, 0)}"
    damaged = (stores.KeyedRecord(key, UNREADABLE),)
    cluster.log.append(keyed_stores.Append(records.TASKS_PARTITION, damaged, None, None))
    entry = await cluster.add_entry("entry-2")
    await cluster.wait_until(lambda: entry.election.is_lead)


async def _wait_succeeded(cluster, spec):
    await cluster.wait_until(
        lambda: cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED, timeout_s=10.0
    )


# Guards against a lead that takes a record that it can't read for a task that never ran: it started
# the task beside its run on a worker that it could not reach yet (issue 32).
async def test_task_with_an_unreadable_record_is_not_started_beside_its_run(
    start_cluster, make_job
):
    spec = make_job(1)
    async with start_cluster() as cluster:
        former, agent = await cluster.start_single_task(spec, 60.0)
        stored = cluster.log.partition(records.SHARED_PARTITION).newest
        registered = records.decode(stored[records.AGENT_PREFIX + "node-1"], records.AgentRecord)
        cluster.register("node-1", DEAD_ADDRESS)
        await cluster.add_agent("node-2")
        await _replace_lead(cluster, former, spec)
        await anyio.sleep(2.0)
        assert cluster.run_recorder.overlaps == []
        cluster.register("node-1", registered.address)
        link = cluster.entries["entry-2"].election.scheduler.link
        await cluster.wait_until(lambda: link("node-1").is_attached)
        agent.worker.finish_runs()
        await _wait_succeeded(cluster, spec)
        assert len(cluster.run_recorder.starts) == 1


# Guards against a result that is acknowledged although it can't be applied: the task ran again
# after it was done (issue 32).
async def test_result_of_a_task_with_an_unreadable_record_is_applied(start_cluster, make_job):
    spec = make_job(1)
    async with start_cluster() as cluster:
        former, agent = await cluster.start_single_task(spec, 60.0)
        agent.worker.crash()
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2)
        former.scope.cancel()
        agent.worker.finish_runs()
        agent.worker.run_time_s = 0.2
        await cluster.wait_until(lambda: bool(cluster.run_recorder.done))
        await _replace_lead(cluster, former, spec)
        await _wait_succeeded(cluster, spec)
        assert cluster.run_recorder.restarts == []
        assert len(cluster.run_recorder.starts) == 2
