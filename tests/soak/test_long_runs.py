"""Runs that wait at 100 percent, or take longer than declared, are left alone by the lead."""

import job_callers
import pytest

pytestmark = pytest.mark.anyio

JOB_ID = "00000000000000b1"
STEP = {"cpu": 4000, "mem_mb": 1000, "gpu": 4, "est_ms": 1000}
MEMBERS = 4


@pytest.fixture
async def caller(tmp_path):
    """Return a caller of two entries and three workers."""
    async with job_callers.running_system(tmp_path, agents=3, attempts=2) as caller:
        yield caller


async def _run_once(caller, script, step):
    """Submit a job, wait until an entry shows its end, and return the starts of its tasks."""
    await caller.submit(JOB_ID, script, step)

    async def has_succeeded():
        response = await caller.call_any("GET", JOB_ID)
        return response is not None and response.json()["state"] == "succeeded"

    await job_callers.wait_until(has_succeeded)
    return sorted((row["task"], row["run"]) for _, row in caller.events(JOB_ID, "began"))


# Guards against a gang that is stopped again and again on uneven workers: the members on fast ones
# show 100 percent and wait for the others.
async def test_gang_that_waits_for_a_slow_member_runs_once(caller):
    starts = await _run_once(
        caller, "full-s:1 ends-s:6 slow-members:1", STEP | {"count": MEMBERS, "gang": True}
    )
    assert starts == [(f"{JOB_ID}.0.0.{index}", 1) for index in range(MEMBERS)]


# Guards against a task that is stopped again and again since it is longer than declared.
async def test_task_that_takes_six_times_as_long_as_declared_runs_once(caller):
    starts = await _run_once(caller, "full-s:1 ends-s:6", STEP | {"count": 1})
    assert starts == [(f"{JOB_ID}.0.0.0", 1)]
