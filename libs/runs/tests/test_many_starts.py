"""Hundreds of starts on one worker."""

import anyio
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import specs, tasks
from papayaspar_model import causality, clock
from papayaspar_runs import messages, run_orders, table, worker_control, workers

pytestmark = pytest.mark.anyio

BORN_MS = 1_000
CAPACITY = specs.Resources(64_000, 262_144, 8)
SMALL = specs.Resources(100, 16)
STARTS = 630


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class CountingWorker(workers.Worker):
    """Answers each start after a while, and counts those that it has not answered."""

    def __init__(self):
        self.starts = self.pending = self.pending_max = 0

    async def start(self, order):
        self.starts += 1
        self.pending += 1
        self.pending_max = max(self.pending, self.pending_max)
        await anyio.sleep(0.01)
        self.pending -= 1

    async def stop(self, task, run, token, worker):
        raise AssertionError

    async def poll(self, token, acknowledged_number, expiry_ms, wait_ms, worker):
        await anyio.sleep(min(wait_ms, 50) / 1000.0)
        return workers.WorkerStatus(500, BORN_MS, (), ())


async def test_starts_wait_for_one_another_before_their_expiry_is_set():
    """Starts that waited in the agent arrived after their expiry, 3,048 of one job of 10,000."""
    clock_source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    worker = CountingWorker()
    controller = worker_control.WorkerController("node", worker, 6.0, clock_source, events)
    controller.handle_heartbeat(
        workers.Heartbeat("w-1", "pool", workers.Condition.READY, CAPACITY, (), "", 1, BORN_MS)
    )
    controller.renew_lead_lease(clock_source.now_s())
    outcomes = []

    async def start(index, incarnation):
        key = tasks.TaskKey("0" * 16, 0, 0, index)
        order = messages.StartRun(key, 1, "", "", SMALL, incarnation)
        outcomes.append(await controller.orders.start(order))

    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        state = await controller.attach(1 << 24)
        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as starts:
                for index in range(STARTS):
                    starts.start_soon(start, index, state.incarnation)
        group.cancel_scope.cancel()
    assert outcomes == [messages.StartOutcome(True)] * STARTS
    assert worker.pending_max <= run_orders.STARTS_AT_ONCE_MAX


def test_resources_of_a_run_are_free_after_its_end():
    """The sum of the used resources follows each way in which a run leaves the table."""
    runs = table.RunTable()
    keys = [tasks.TaskKey("0" * 16, 0, 0, index) for index in range(4)]
    for key in keys:
        runs.begin_start(key, 1, specs.Resources(16_000), 1)
    assert not runs.fits(SMALL, CAPACITY)
    runs.record_not_started(keys[0], 1)
    assert runs.fits(specs.Resources(16_000), CAPACITY)
    for key in keys[1:]:
        runs.record_started(key, 1, 1)
    listed = tuple(workers.RunStatus(key, 1) for key in keys[1:3])
    runs.apply_status(workers.WorkerStatus(500, BORN_MS, listed, ()), 2)
    assert runs.fits(specs.Resources(32_000), CAPACITY)
    assert not runs.fits(specs.Resources(32_001), CAPACITY)
    runs.forget_incarnation(9)
    assert runs.fits(CAPACITY, CAPACITY)
