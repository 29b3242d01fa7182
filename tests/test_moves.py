"""Small gangs are moved together, so that a whole worker is free for the guaranteed shape."""

import anyio
import loguru
import pytest

from papayaspar_local import callers, layouts, systems
from papayaspar_placement import consolidation

WITHIN_S = 40.0
POLL_S = 0.1
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
ORDER = callers.JobOrder("small", 1, 4, "any", 36_000, "batch")


@pytest.fixture
def eager(monkeypatch):
    """Let gangs be moved as soon as they run."""
    loguru.logger.remove()
    monkeypatch.setattr(consolidation, "MIN_MOVE_INTERVAL_S", 0.0)


def running_by_worker(system):
    """Return how many tasks run on each worker, by the runtimes' own record."""
    found = {}
    for name, worker in system.workers.items():
        runs = worker.runtime.runs()
        found[name] = sum(run.stopped_s == float("inf") for run in runs)
    return found


async def moved(system):
    """Return once both gangs that are left run on one worker."""
    while True:
        if sorted(running_by_worker(system).values()) == [0, 0, 2]:
            return
        await anyio.sleep(POLL_S)


async def scatter_and_wait():
    """Leave one small gang on each of two workers, and wait until they stand on one."""
    async with (
        systems.running(LAYOUT) as system,
        callers.Caller(system.entries[0].callers) as caller,
    ):
        jobs = [await caller.submit(ORDER) for _ in range(4)]
        for job in jobs:
            assert await caller.wait_state(job, "running", WITHIN_S) is not None
        stands = {}
        for worker in system.workers.values():
            for use in worker.agent.report().gangs:
                stands.setdefault(worker.place.worker, []).append(use.job_id)
        for here in stands.values():
            await caller.cancel(here[0])
        with anyio.move_on_after(WITHIN_S):
            await moved(system)
        return running_by_worker(system), [await caller.state(job) for job in jobs]


def test_two_small_gangs_are_moved_onto_one_worker(eager):
    counts, states = anyio.run(scatter_and_wait)
    assert sorted(counts.values()) == [0, 0, 2]
    assert sorted(states) == ["cancelled", "cancelled", "running", "running"]
