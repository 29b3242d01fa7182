"""Load: all machines lose power while checkpointed work runs."""

import pytest

from papayaspar_jobs import specs, tasks

pytestmark = pytest.mark.anyio


async def test_new_lead_goes_on_from_a_stored_checkpoint(running, make_job):
    """Seen on kowhai-spar inc-85a2: runs began anew since only the former lead knew how far."""
    step = specs.Step(1, specs.Room(1000, 100, 1), 30_000, is_checkpointed=True)
    key = tasks.TaskKey(make_job(1).job_id, 0, 0, 0)
    async with running() as site:
        lead = await site.add_entry("entry-1")
        agent = await site.add_agent("node-1")
        agent.worker.run_time_s, agent.worker.saves_progress = 30.0, True
        site.submit(make_job(1, step))
        await site.until(lambda: len(site.witness.starts) == 1)
        await site.until(lambda: bool(site.stored_task(key).checkpoint))
        lead.scope.cancel()
        agent.scope.cancel()
        agent.worker.crash()
        await site.add_agent("node-1", agent.worker)
        await site.add_entry("entry-2")
        await site.until(lambda: len(site.witness.starts) == 2)
        assert site.witness.checkpoints[key, 2].startswith("1-")
