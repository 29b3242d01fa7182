"""Starts that a lead abandons when it disconnects, and that the worker executes late."""

import anyio
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import specs, tasks
from papayaspar_model import causality, clock
from papayaspar_runs import messages, worker_control, workers

pytestmark = pytest.mark.anyio

BORN_MS = 1_000
CAPACITY = specs.Resources(1000, 1000, 8)
KEY = tasks.TaskKey("0" * 16, 0, 0, 0)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class FencedWorker(workers.Worker):
    """Refuses lower tokens; leaves starts unanswered, and executes them when told to."""

    def __init__(self):
        self.token = 0
        self.polls = 0
        self.pending = []
        self.runs = []

    def _check_token(self, token):
        if token < self.token:
            raise workers.OrderRefusedError(workers.RefusalReason.TOKEN)
        self.token = token

    def execute_pending(self):
        """Execute the starts that were received, as if they had arrived only now."""
        for order in self.pending:
            try:
                self._check_token(order.token)
            except workers.OrderRefusedError:
                # Nobody waits for the answer.
                continue
            self.runs.append(workers.RunStatus(order.task, order.run))

    async def start(self, order):
        self.pending.append(order)
        await anyio.sleep_forever()

    async def stop(self, task, run, token, worker):
        raise AssertionError

    async def poll(self, token, acknowledged_number, expiry_ms, wait_ms, worker):
        self._check_token(token)
        await anyio.sleep(min(wait_ms, 50) / 1000.0)
        self.polls += 1
        return workers.WorkerStatus(500, BORN_MS, tuple(self.runs), ())


@pytest.fixture
def worker():
    return FencedWorker()


@pytest.fixture
async def controller(worker):
    """Return a controller with a lead."""
    clock_source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    controller = worker_control.WorkerController("node", worker, 6.0, clock_source, events)
    controller.handle_heartbeat(
        workers.Heartbeat("w-1", "pool", workers.Condition.READY, CAPACITY, (), "", 1, BORN_MS)
    )
    controller.renew_lead_lease(clock_source.now_s())
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        yield controller
        group.cancel_scope.cancel()


async def _abandon_start(controller, worker, state):
    """Order a start, and disconnect as its lead before it is answered."""
    order = messages.StartRun(KEY, 1, "", "", CAPACITY, state.incarnation)
    async with anyio.create_task_group() as group:
        group.start_soon(controller.orders.start, order)
        while not worker.pending:
            await anyio.sleep(0.01)
        group.cancel_scope.cancel()


async def _wait_for_polls(worker, count):
    polls = worker.polls
    while worker.polls < polls + count:
        await anyio.sleep(0.01)


# Guards against an attachment that does not raise the token, since the agent has raised its own
# beyond it: the lead read that the run is not listed, started the task elsewhere, and the start
# was then executed under the same token (issue 32).
async def test_attachment_fences_the_starts_of_the_former_one(controller, worker):
    with anyio.fail_after(5.0):
        state = await controller.attach(64)
        # As after many starts without an answer.
        controller.raise_token(300)
        await _wait_for_polls(worker, 2)
        await _abandon_start(controller, worker, state)
        await controller.attach(128)
        while not controller.state().is_answering or controller.state().runs:
            await anyio.sleep(0.01)
        worker.execute_pending()
    assert worker.runs == []


# Guards against resources of a start that are taken as free before the start can't be executed any
# more: polls under the token of the start were taken as a sign of its absence (issue 32).
async def test_abandoned_start_is_fenced_before_its_resources_are_free(controller, worker):
    with anyio.fail_after(5.0):
        state = await controller.attach(64)
        await _abandon_start(controller, worker, state)
        await _wait_for_polls(worker, 3)
        worker.execute_pending()
        await controller.attach(128)
        order = messages.StartRun(
            tasks.TaskKey("1" * 16, 0, 0, 0), 1, "", "", CAPACITY, state.incarnation
        )
        with anyio.move_on_after(0.3):
            await controller.orders.start(order)
    started = [run.task for run in worker.runs]
    started += [pending.task for pending in worker.pending if pending.task != KEY]
    assert started == [order.task]
