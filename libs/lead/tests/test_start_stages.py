"""Stages of a unit's start, by which on-call tells a slow lead from a lack of room."""

import re

import pytest

from papayaspar_events import lines
from papayaspar_jobs import specs

pytestmark = pytest.mark.anyio

STAGES = ["seen", "room", "stops", "stored", "answered"]
RUN_TIME_S = 1.0


async def test_start_is_recorded_with_its_stages(start_cluster, make_job):
    async with start_cluster() as cluster:
        entry = await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.run_time_s = RUN_TIME_S
        whole_worker = specs.Step(1, specs.Resources(1000, 100, 8), 1000)
        cluster.submit(make_job(1, whole_worker))
        cluster.submit(make_job(2, whole_worker))
        await cluster.wait_until(lambda: entry.election.is_lead)
        events = entry.election.scheduler._state.events

        def starts():
            return [
                dict(re.findall(r"(\w+)_ms=(\d+)", event.detail))
                for event in events.newest(1000)
                if event.kind is lines.EventKind.UNIT_STARTED
            ]

        await cluster.wait_until(lambda: len(starts()) == 2)
        first, second = starts()
        assert list(first) == list(second) == STAGES
        assert int(second["room"]) >= int(first["room"]) + 0.5 * RUN_TIME_S * 1000
        assert b'stage="start_room"' in events.metrics.exposition()
