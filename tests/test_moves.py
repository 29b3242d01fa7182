"""Small gangs are consolidated so that a whole worker becomes free for a guaranteed gang."""

import anyio
import loguru
import pytest

from papayaspar_local import callers, layouts, systems
from papayaspar_placement import consolidation

TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.1
RULES = """\
team models weight=1 # asked by this test
team small weight=1 # asked by this test
guarantee whole team=models tasks=1 accelerators=8 adjacency=any count=1 # asked by this test
"""
LAYOUT = layouts.Layout(
    "region-1",
    ("entry-1",),
    tuple(layouts.WorkerPlace(f"w{number}", "rack-1", "dc-1") for number in (1, 2, 3)),
    RULES,
)
JOB_ORDER = callers.JobOrder("small", 1, 4, "any", 36_000, "batch")


@pytest.fixture
def no_move_interval(monkeypatch):
    """Allow resumed gangs to be moved again immediately."""
    loguru.logger.remove()
    monkeypatch.setattr(consolidation, "MIN_MOVE_INTERVAL_S", 0.0)


def running_by_worker(system):
    """Return how many tasks run on each worker, as recorded by the runtimes."""
    counts = {}
    for name, worker in system.workers.items():
        runs = worker.runtime.runs()
        counts[name] = sum(run.stopped_s == float("inf") for run in runs)
    return counts


async def wait_until_consolidated(system):
    """Wait until both remaining gangs run on one worker."""
    while True:
        if sorted(running_by_worker(system).values()) == [0, 0, 2]:
            return
        await anyio.sleep(POLL_INTERVAL_S)


async def scatter_and_wait():
    """Leave one small gang on each of two workers, and wait until both run on one worker."""
    async with (
        systems.running(LAYOUT) as system,
        callers.Caller(system.entries[0].callers) as caller,
    ):
        jobs = [await caller.submit(JOB_ORDER) for _ in range(4)]
        for job in jobs:
            assert await caller.wait_for_state(job, "running", TIMEOUT_S) is not None
        job_ids_by_worker = {}
        for worker in system.workers.values():
            for use in worker.agent.report().gangs:
                job_ids_by_worker.setdefault(worker.place.worker, []).append(use.job_id)
        for job_ids in job_ids_by_worker.values():
            await caller.cancel(job_ids[0])
        remaining = [job_ids[1] for job_ids in job_ids_by_worker.values()]
        with anyio.move_on_after(TIMEOUT_S):
            await wait_until_consolidated(system)
        # The entry hears of a run by the next report of its agent.
        for job_id in remaining:
            assert await caller.wait_for_state(job_id, "running", TIMEOUT_S) is not None
        return running_by_worker(system), [await caller.state(job) for job in jobs]


def test_two_small_gangs_are_moved_onto_one_worker(no_move_interval):
    counts, states = anyio.run(scatter_and_wait)
    assert sorted(counts.values()) == [0, 0, 2]
    assert sorted(states) == ["cancelled", "cancelled", "running", "running"]
