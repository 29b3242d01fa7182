"""Delayed heartbeats of former incarnations, whose id the worker does not answer to."""

import anyio
import attrs
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import specs, tasks
from papayaspar_model import causality, clock
from papayaspar_runs import messages, worker_control, workers

pytestmark = pytest.mark.anyio

BORN_MS = 1_000
CAPACITY = specs.Resources(1000, 1000, 8)
KEY = tasks.TaskKey("0" * 16, 0, 0, 0)
OTHER_KEY = tasks.TaskKey("1" * 16, 0, 0, 0)
HEARTBEAT = workers.Heartbeat("w-1", "pool", workers.Condition.READY, CAPACITY, (), "", 1, BORN_MS)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class NamedWorker(workers.Worker):
    """Refuses calls for other ids."""

    def __init__(self):
        self.runs = []
        self.refusals = 0

    def _check_id(self, worker):
        if worker not in ("", HEARTBEAT.worker):
            self.refusals += 1
            raise workers.OrderRefusedError(workers.RefusalReason.INCARNATION)

    async def start(self, order):
        self._check_id(order.worker)
        self.runs.append(workers.RunStatus(order.task, order.run))

    async def stop(self, task, run, token, worker):
        raise AssertionError

    async def poll(self, token, acknowledged_number, expiry_ms, wait_ms, worker):
        self._check_id(worker)
        await anyio.sleep(min(wait_ms, 50) / 1000.0)
        return workers.WorkerStatus(500, BORN_MS, tuple(self.runs), ())


# Guards against an agent that forgets the runs of its worker, and with them their resources, since
# the worker refused a poll for the id of another incarnation (issue 32).
async def test_refused_poll_for_another_id_does_not_forget_the_runs():
    clock_source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    worker = NamedWorker()
    controller = worker_control.WorkerController("node", worker, 6.0, clock_source, events)
    controller.handle_heartbeat(HEARTBEAT)
    controller.renew_lead_lease(clock_source.now_s())
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        with anyio.fail_after(5.0):
            state = await controller.attach(64)
            order = messages.StartRun(KEY, 1, "", "", CAPACITY, state.incarnation)
            assert (await controller.orders.start(order)).is_started
            await anyio.sleep(0.2)
            controller.handle_heartbeat(
                attrs.evolve(HEARTBEAT, worker="w-0", sequence=9, born_ms=BORN_MS + 1)
            )
            while worker.refusals == 0:
                await anyio.sleep(0.01)
            controller.handle_heartbeat(attrs.evolve(HEARTBEAT, sequence=2))
            while controller.incarnation is None or not controller.state().is_answering:
                await anyio.sleep(0.01)
            outcome = await controller.orders.start(attrs.evolve(order, task=OTHER_KEY))
        group.cancel_scope.cancel()
    assert outcome == messages.StartOutcome(False, workers.RefusalReason.ROOM)
