"""A worker that fails and restarts as a new incarnation with the same id."""

import anyio
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import specs, tasks
from papayaspar_model import causality, clock, errors
from papayaspar_runs import messages, table, worker_control, workers

pytestmark = pytest.mark.anyio

TASK = tasks.TaskKey("0" * 16, 0, 0, 0)
FIRST_BORN_MS, SECOND_BORN_MS = 1_000, 2_000


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class RestartedWorker(workers.Worker):
    """Restarts as a second incarnation at the first start, which gets no answer.

    Held polls get no answer either, as on a connection that stays open after a crash.
    """

    def __init__(self):
        self.born_ms = FIRST_BORN_MS
        self.starts = 0

    async def start(self, order):
        self.starts += 1
        if self.starts > 1:
            return
        self.born_ms = SECOND_BORN_MS
        raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)

    async def stop(self, task, run, token, worker):
        raise AssertionError

    async def poll(self, token, acknowledged_number, expiry_ms, wait_ms, worker):
        if wait_ms:
            await anyio.sleep_forever()
        return workers.WorkerStatus(500, self.born_ms, (), ())


def _heartbeat(born_ms):
    return workers.Heartbeat(
        "w-1", "pool", workers.Condition.READY, specs.Resources(1, 1, 1), (), "", 1, born_ms
    )


async def test_start_for_a_former_incarnation_is_not_sent_to_the_next_one():
    """A task ran on two workers at once (found by the soak, seed 31).

    When the new incarnation was reported, the lead assigned the task to another worker, while the
    agent sent the same start order again to the new incarnation.
    """
    clock_source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    worker = RestartedWorker()
    controller = worker_control.WorkerController("node", worker, 6.0, clock_source, events)
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        controller.handle_heartbeat(_heartbeat(FIRST_BORN_MS))
        state = await controller.attach(64)
        controller.renew_lead_lease(clock_source.now_s())
        order = messages.StartRun(TASK, 1, "", "", specs.Resources(1, 1, 1), state.incarnation)
        outcome = await controller.orders.start(order)
        group.cancel_scope.cancel()
    assert worker.starts == 1
    assert outcome.reason is workers.RefusalReason.INCARNATION


def test_run_ordered_after_the_poll_that_shows_a_new_incarnation_is_kept():
    run_table = table.RunTable()
    for index, poll_number in ((0, 3), (1, 5)):
        key = tasks.TaskKey("0" * 16, 0, 0, index)
        run_table.begin_start(key, 1, specs.Resources(), poll_number)
        run_table.record_started(key, 1, poll_number)
    run_table.forget_incarnation(5)
    assert [status.task.index for status in run_table.statuses()] == [1]
