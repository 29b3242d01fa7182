"""Starts that get no answer, and that nobody wants any more when the worker answers again."""

import anyio
import attrs
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import specs, tasks
from papayaspar_model import causality, clock, errors
from papayaspar_runs import messages, worker_control, workers

pytestmark = pytest.mark.anyio

BORN_MS = 1_000
CAPACITY = specs.Resources(1000, 1000, 8)
KEY = tasks.TaskKey("0" * 16, 0, 0, 0)
HEARTBEAT = workers.Heartbeat("w-1", "pool", workers.Condition.READY, CAPACITY, (), "", 1, BORN_MS)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class SilentWorker(workers.Worker):
    """Leaves calls unanswered and without effect while ``is_silent``; counts the starts."""

    def __init__(self):
        self.is_silent = False
        self.starts = 0
        self.stops = 0

    async def _answer(self):
        if self.is_silent:
            await anyio.sleep(0.05)
            raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)

    async def start(self, order):
        self.starts += 1
        await self._answer()

    async def stop(self, task, run, token, worker):
        await self._answer()
        self.stops += 1

    async def poll(self, token, acknowledged_number, expiry_ms, wait_ms, worker):
        await self._answer()
        await anyio.sleep(min(wait_ms, 50) / 1000.0)
        return workers.WorkerStatus(500, BORN_MS, (), ())


@attrs.define
class Fixture:
    """A controller, its worker, and the outcome of one start order."""

    controller: worker_control.WorkerController
    worker: SilentWorker
    clock: clock.BootClock
    group: anyio.abc.TaskGroup
    outcomes: list[messages.StartOutcome] = attrs.field(factory=list)

    async def begin_start(self):
        """Order a start that the worker leaves unanswered."""
        state = await self.controller.attach(1 << 24)
        self.worker.is_silent = True
        order = messages.StartRun(KEY, 1, "", "", CAPACITY, state.incarnation)
        self.group.start_soon(self._start, order)
        while self.worker.starts == 0:
            await anyio.sleep(0.01)

    async def _start(self, order):
        self.outcomes.append(await self.controller.orders.start(order))

    async def end_silence(self):
        """Let the worker answer again, and wait for the outcome of the start."""
        await anyio.sleep(0.2)
        self.worker.is_silent = False
        with anyio.fail_after(5.0):
            while not self.outcomes:
                await anyio.sleep(0.01)


@pytest.fixture
async def system():
    """Return a controller with a lead and a worker."""
    clock_source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    worker = SilentWorker()
    controller = worker_control.WorkerController("node", worker, 6.0, clock_source, events)
    controller.handle_heartbeat(HEARTBEAT)
    controller.renew_lead_lease(clock_source.now_s())
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        yield Fixture(controller, worker, clock_source, group)
        group.cancel_scope.cancel()


async def test_unanswered_start_is_sent_again(system):
    await system.begin_start()
    await system.end_silence()
    assert system.outcomes == [messages.StartOutcome(True)]
    assert system.worker.starts == 2


async def test_unanswered_start_is_not_sent_again_after_a_stop(system):
    """A task began 4.3 s after the cancel of its job was acknowledged.

    Seen in case 5 of the review, and by the soak, seed 10.
    """
    await system.begin_start()
    system.group.start_soon(system.controller.orders.stop, KEY, 1)
    await system.end_silence()
    assert system.outcomes == [messages.StartOutcome(False, workers.RefusalReason.WITHDRAWN)]
    assert system.worker.starts == 1
    while system.worker.stops == 0:
        await anyio.sleep(0.01)


async def test_unanswered_start_is_not_sent_again_to_a_draining_worker(system):
    await system.begin_start()
    system.controller.handle_heartbeat(
        attrs.evolve(HEARTBEAT, sequence=2, condition=workers.Condition.DRAINING)
    )
    await system.end_silence()
    assert system.outcomes == [messages.StartOutcome(False, workers.RefusalReason.DRAINING)]
    assert system.worker.starts == 1


async def test_unanswered_start_is_not_sent_again_without_a_lead(system, monkeypatch):
    await system.begin_start()
    lease = system.controller._lease
    monkeypatch.setattr(lease, "_lead_lease_expiry_s", system.clock.now_s())
    await system.end_silence()
    assert system.outcomes == [messages.StartOutcome(False, workers.RefusalReason.NOT_VOUCHED)]
    assert system.worker.starts == 1


async def test_unanswered_start_is_not_sent_again_after_the_start_lease(system):
    await system.begin_start()
    system.controller.renew_lead_lease(system.clock.now_s(), 0.1)
    await system.end_silence()
    reason = workers.RefusalReason.NO_START_LEASE
    assert system.outcomes == [messages.StartOutcome(False, reason)]
    assert system.worker.starts == 1


async def test_nothing_starts_while_the_lead_allows_no_starts(system):
    state = await system.controller.attach(1 << 24)
    order = messages.StartRun(KEY, 1, "", "", CAPACITY, state.incarnation)
    system.controller.renew_lead_lease(system.clock.now_s(), 0.0)
    outcome = await system.controller.orders.start(order)
    assert outcome.reason is workers.RefusalReason.NO_START_LEASE
    assert system.worker.starts == 0
    system.controller.renew_lead_lease(system.clock.now_s(), 5.0)
    assert (await system.controller.orders.start(order)).is_started


# Guards against a stop that overtakes a start and whose refusal counts as that of another run: the
# lead closed the link to the agent, and the other starts on the worker began anew (issue 32).
async def test_start_that_its_stop_has_overtaken_is_withdrawn(system):
    await system.controller.attach(1 << 24)

    async def start(order):
        system.worker.starts += 1
        while system.worker.stops == 0:
            await anyio.sleep(0.01)
        raise workers.OrderRefusedError(workers.RefusalReason.OLD_RUN)

    system.worker.start = start
    await system.begin_start()
    system.worker.is_silent = False
    await system.controller.orders.stop(KEY, 1)
    await system.end_silence()
    assert system.outcomes == [messages.StartOutcome(False, workers.RefusalReason.WITHDRAWN)]


async def test_stop_that_the_worker_does_not_accept_is_not_repeated(system):
    """An answer of 400 was repeated ten times a second, for as long as the worker lived."""
    await system.controller.attach(1 << 24)
    calls = []

    async def refuse(*arguments):
        calls.append(arguments)
        raise workers.OrderRefusedError(workers.RefusalReason.INVALID)

    system.worker.stop = refuse
    with pytest.raises(workers.OrderRefusedError):
        await system.controller.orders.stop(KEY, 1)
    assert len(calls) == 1
