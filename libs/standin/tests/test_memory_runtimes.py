"""Tests of the in-memory runtime with a manual clock: leases, progress, accelerators and faults."""

import anyio
import pytest

from papayaspar_model import clock, errors
from papayaspar_platform import runtimes
from papayaspar_standin import faults, memory_runtimes

SPEC = runtimes.TaskSpec("job-1.1.0", "job-1", 1, 0, "retouch", (0, 1), 20.0)
CONFLICTING_SPEC = runtimes.TaskSpec("job-2.1.0", "job-2", 1, 0, "yield", (1, 2), 20.0)


@pytest.fixture
def clock_source():
    return clock.ManualClock(100.0)


@pytest.fixture
def runtime(clock_source):
    return memory_runtimes.MemoryRuntime(clock_source, usage_lag_s=2.0)


def test_a_task_stops_when_its_lease_expires(runtime, clock_source):
    async def scenario():
        await runtime.prepare(SPEC)
        await runtime.start(SPEC.task_id, 103.0)
        clock_source.advance(4.0)
        status = await runtime.renew(SPEC.task_id, 110.0)
        assert status.state is runtimes.TaskState.STOPPED
        assert runtime.runs() == (memory_runtimes.Run(SPEC.task_id, "job-1", 1, 100.0, 103.0),)

    anyio.run(scenario)


def test_throttling_delays_the_completion_of_a_task(runtime, clock_source):
    async def scenario():
        await runtime.prepare(SPEC)
        await runtime.start(SPEC.task_id, 200.0)
        clock_source.advance(10.0)
        assert (await runtime.status(SPEC.task_id)).ran_s == 8.0
        await runtime.throttle(SPEC.task_id, 0.5)
        clock_source.advance(19.0)
        assert (await runtime.status(SPEC.task_id)).state is runtimes.TaskState.RUNNING
        assert await runtime.checkpoint(SPEC.task_id) == 19.5
        clock_source.advance(1.0)
        assert (await runtime.status(SPEC.task_id)).state is runtimes.TaskState.DONE

    anyio.run(scenario)


def test_two_tasks_never_share_an_accelerator(runtime):
    async def scenario():
        await runtime.prepare(SPEC)
        await runtime.prepare(CONFLICTING_SPEC)
        await runtime.start(SPEC.task_id, 200.0)
        with pytest.raises(errors.TargetError) as caught:
            await runtime.start(CONFLICTING_SPEC.task_id, 200.0)
        assert caught.value.ran is errors.Ran.NO
        await runtime.stop(SPEC.task_id)
        await runtime.start(CONFLICTING_SPEC.task_id, 200.0)

    anyio.run(scenario)


def test_the_fail_fault_fails_every_started_task(runtime):
    async def scenario():
        runtime.faults = faults.WorkerFaults(fail=True)
        await runtime.prepare(SPEC)
        await runtime.start(SPEC.task_id, 200.0)
        assert (await runtime.status(SPEC.task_id)).state is runtimes.TaskState.FAILED

    anyio.run(scenario)
