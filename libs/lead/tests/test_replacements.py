"""Workers that are replaced one after the other, as in a rolling release.

Gangs that were moved off a draining worker went to workers that began to drain a second later: a
gang of 12 whole workers started from the beginning four times in six seconds.
"""

import pytest

from papayaspar_jobs import specs
from papayaspar_runs import workers
from papayaspar_standin import memory_workers

pytestmark = pytest.mark.anyio

OLD_WORKER_AGE_S = 300.0
STEP = specs.Step(1, specs.Resources(1000, 100, 8), 30_000)


@pytest.fixture
def start_pool(start_cluster):
    """Return a context manager of a cluster with old workers, and a function to add a worker."""

    async def add_worker(cluster, node, age_s):
        worker = memory_workers.MemoryWorker(
            node, cluster.run_recorder, cluster.clock, run_time_s=60.0, age_s=age_s
        )
        return await cluster.add_agent(node, worker)

    return start_cluster, add_worker


async def test_unsaved_work_moves_from_a_draining_worker_to_a_new_one(start_pool, make_job):
    start_cluster, add_worker = start_pool
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        first = await add_worker(cluster, "node-1", OLD_WORKER_AGE_S)
        cluster.submit(make_job(1, STEP))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 1)
        await add_worker(cluster, "node-2", OLD_WORKER_AGE_S)
        await add_worker(cluster, "node-3", 0.0)
        lead = cluster.entries["entry-1"].election
        await cluster.wait_until(lambda: len(lead.scheduler.attached_nodes()) == 3)
        first.worker.condition = workers.Condition.DRAINING
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2)
        assert cluster.run_recorder.starts[1][2] == "node-3"
