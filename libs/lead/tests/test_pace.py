"""Load: workers that turn slow are told by the progress of what runs there."""

import pytest

from papayaspar_jobs import specs

pytestmark = pytest.mark.anyio


async def test_slow_worker_is_known_before_its_run_ends(running, make_job):
    step = specs.Step(1, specs.Room(1000, 100, 1), 1_000)
    async with running() as site:
        lead = await site.add_entry("entry-1")
        agent = await site.add_agent("node-1")
        agent.worker.run_time_s = 30.0
        site.submit(make_job(1, step))
        await site.until(lambda: len(site.witness.starts) == 1)
        site.submit(make_job(2, specs.Step(1, specs.Room(1000, 100, 8), 1_000)))
        seat = lead.election.held.link("node-1").seat
        await site.until(lambda: seat.slowness > 10.0)
