"""Orders of a lead that disconnects while the agent executes them."""

import anyio
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import specs, tasks
from papayaspar_model import causality, clock, errors
from papayaspar_runs import messages, worker_control, workers

pytestmark = pytest.mark.anyio

BORN_MS = 1_000
WHOLE_WORKER = specs.Resources(1000, 1000, 8)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class UnresponsiveWorker(workers.Worker):
    """Accepts starts but lists no runs; leaves all calls unanswered while ``is_silent``."""

    def __init__(self):
        self.is_silent = False
        self.starts = 0

    async def start(self, order):
        self.starts += 1
        if self.is_silent:
            raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)

    async def stop(self, task, run, token, worker):
        raise AssertionError

    async def poll(self, token, acknowledged_number, expiry_ms, wait_ms, worker):
        if self.is_silent:
            await anyio.sleep(0.05)
            raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)
        await anyio.sleep(min(wait_ms, 50) / 1000.0)
        return workers.WorkerStatus(500, BORN_MS, (), ())


def _order(state, index):
    key = tasks.TaskKey("0" * 16, 0, 0, index)
    return messages.StartRun(key, 1, "", "", WHOLE_WORKER, state.incarnation)


async def test_failed_start_of_a_disconnected_lead_releases_its_resources():
    """An agent refused all starts for a minute because it counted a start that never ran.

    Found by the soak, seed 10.
    """
    clock_source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    worker = UnresponsiveWorker()
    controller = worker_control.WorkerController("node", worker, 6.0, clock_source, events)
    heartbeat = workers.Heartbeat(
        "w-1", "pool", workers.Condition.READY, WHOLE_WORKER, (), "", 1, BORN_MS
    )
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        controller.handle_heartbeat(heartbeat)
        state = await controller.attach(64)
        controller.renew_lead_lease(clock_source.now_s())
        worker.is_silent = True
        with anyio.move_on_after(0.3):
            await controller.orders.start(_order(state, 0))
        worker.is_silent = False
        state = await controller.attach(256)
        await anyio.sleep(0.3)
        outcome = await controller.orders.start(_order(state, 1))
        group.cancel_scope.cancel()
    assert outcome.is_started
    assert worker.starts == 2
