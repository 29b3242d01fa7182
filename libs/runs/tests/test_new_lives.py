"""A worker that dies and begins another life under the id that it had."""

import anyio
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import specs, tasks
from papayaspar_model import causality, clock, errors
from papayaspar_runs import keeper, messages, table, workers

pytestmark = pytest.mark.anyio

TASK = tasks.TaskKey("0" * 16, 0, 0, 0)
FIRST_LIFE, SECOND_LIFE = 1_000, 2_000


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class RebornWorker(workers.Worker):
    """Leaves the first start unanswered and is in its second life from then on.

    Looks that wait are answered by nobody any more, as on a connection that the crash left silent.
    """

    def __init__(self):
        self.born_ms = FIRST_LIFE
        self.starts = 0

    async def start(self, order):
        self.starts += 1
        if self.starts > 1:
            return
        self.born_ms = SECOND_LIFE
        raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)

    async def stop(self, task, run, token, worker):
        raise AssertionError

    async def look(self, token, seen_end, expiry_ms, wait_ms, worker):
        if wait_ms:
            await anyio.sleep_forever()
        return workers.Look(500, self.born_ms, (), ())


def _heartbeat(born_ms):
    return workers.Heartbeat(
        "w-1", "pool", workers.Condition.READY, specs.Room(1, 1, 1), (), "", 1, born_ms
    )


async def test_start_for_a_former_life_is_not_ordered_in_the_next_one():
    """Found by the soak, seed 31 (a task on two workers at once).

    The lead gave the task to another worker when it heard of the new life, while the agent ordered
    the same run again, in that life.
    """
    source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(source), metrics.Metrics())
    worker = RebornWorker()
    kept = keeper.Keeper("node", worker, 6.0, source, events)
    async with anyio.create_task_group() as group:
        group.start_soon(kept.run)
        kept.take_heartbeat(_heartbeat(FIRST_LIFE))
        state = await kept.attach(64)
        kept.vouched(source.now_s())
        order = messages.StartRun(TASK, 1, "", "", specs.Room(1, 1, 1), state.incarnation)
        outcome = await kept.start(order)
        group.cancel_scope.cancel()
    assert worker.starts == 1
    assert outcome.reason is workers.RefusalReason.INCARNATION


def test_run_that_was_ordered_after_the_look_that_shows_a_new_life_is_kept():
    runs = table.RunTable()
    for index, look in ((0, 3), (1, 5)):
        key = tasks.TaskKey("0" * 16, 0, 0, index)
        runs.begin(key, 1, specs.Room(), look)
        runs.started(key, 1, look)
    runs.forget_life(5)
    assert [row.task.index for row in runs.rows()] == [1]
