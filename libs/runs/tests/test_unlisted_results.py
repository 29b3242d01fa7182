"""Unanswered starts on a worker that does not list all of its results."""

import anyio
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import specs, tasks
from papayaspar_model import causality, clock, errors
from papayaspar_runs import messages, worker_control, workers

pytestmark = pytest.mark.anyio

BORN_MS = 1_000
CAPACITY = specs.Resources(1000, 1000, 8)
KEY = tasks.TaskKey("0" * 16, 0, 0, 0)
OTHER_KEY = tasks.TaskKey("1" * 16, 0, 0, 0)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class FullListWorker(workers.Worker):
    """Executes a start without an answer; lists the run's result after an acknowledgement."""

    def __init__(self):
        self.starts = 0

    async def start(self, order):
        self.starts += 1
        raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)

    async def stop(self, task, run, token, worker):
        raise AssertionError

    async def poll(self, token, acknowledged_number, expiry_ms, wait_ms, worker):
        await anyio.sleep(min(wait_ms, 50) / 1000.0)
        first = workers.RunResult(1, OTHER_KEY, 1, tasks.EndKind.DONE)
        last = workers.RunResult(2, KEY, 1, tasks.EndKind.DONE)
        if acknowledged_number == 0:
            return workers.WorkerStatus(500, BORN_MS, (), (first,), has_more_ends=True)
        return workers.WorkerStatus(500, BORN_MS, (), (last,) if self.starts else ())


async def test_outcome_of_a_start_is_open_until_all_results_are_listed():
    """The run ended at once; its result was not listed, and the run was ordered again."""
    clock_source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    worker = FullListWorker()
    controller = worker_control.WorkerController("node", worker, 6.0, clock_source, events)
    controller.handle_heartbeat(
        workers.Heartbeat("w-1", "pool", workers.Condition.READY, CAPACITY, (), "", 1, BORN_MS)
    )
    controller.renew_lead_lease(clock_source.now_s())
    outcomes = []

    async def start(incarnation):
        order = messages.StartRun(KEY, 1, "", "", CAPACITY, incarnation)
        outcomes.append(await controller.orders.start(order))

    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        with anyio.fail_after(5.0):
            state = await controller.attach(1 << 24)
            group.start_soon(start, state.incarnation)
            await anyio.sleep(0.5)
            assert outcomes == []
            controller.acknowledge(state.incarnation, 1)
            while not outcomes:
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()
    assert outcomes == [messages.StartOutcome(True)]
    assert worker.starts == 1
