"""Detection of slow workers from the progress of their runs."""

import pytest

from papayaspar_jobs import specs

pytestmark = pytest.mark.anyio


async def test_slow_worker_is_detected_before_its_run_ends(start_cluster, make_job):
    step = specs.Step(1, specs.Resources(1000, 100, 1), 1_000)
    async with start_cluster() as cluster:
        lead = await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.run_time_s = 30.0
        cluster.submit(make_job(1, step))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 1)
        cluster.submit(make_job(2, specs.Step(1, specs.Resources(1000, 100, 8), 1_000)))
        worker = lead.election.scheduler.link("node-1").worker
        await cluster.wait_until(lambda: worker.slowness > 10.0)
