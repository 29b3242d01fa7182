"""Starts of an agent whose lead allows them only for a time."""

import anyio
import attrs
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import specs, tasks
from papayaspar_model import causality, clock, errors
from papayaspar_runs import lease, messages, worker_control, workers
from papayaspar_wire import codecs

pytestmark = pytest.mark.anyio

BORN_MS = 1_000
CAPACITY = specs.Resources(1000, 1000, 8)
KEY = tasks.TaskKey("0" * 16, 0, 0, 0)
HEARTBEAT = workers.Heartbeat(
    "w-1", "pool", workers.Condition.READY, CAPACITY, (), "", 1, BORN_MS, data_centre="dc-a"
)
LEASE_MAX_S = 6.0
START_DURATION_S = 1.5
# Rate of the slowest clock of a worker (worker API).
SLOW_RATE = 0.98


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class SilentWorker(workers.Worker):
    """Answers polls, but no start; records the expiry of each start order and its arrival."""

    def __init__(self, clock_source):
        self._clock = clock_source
        self.born_s = clock_source.now_s()
        self.starts = []

    def clock_ms(self):
        return int((self._clock.now_s() - self.born_s) * 1000.0)

    async def start(self, order):
        self.starts.append((self._clock.now_s(), self.born_s + order.expiry_ms / 1000.0))
        await anyio.sleep(0.05)
        raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)

    async def stop(self, task, run, token, worker):
        pass

    async def poll(self, token, acknowledged_number, expiry_ms, wait_ms, worker):
        await anyio.sleep(min(wait_ms, 50) / 1000.0)
        return workers.WorkerStatus(self.clock_ms(), BORN_MS, (), ())


@attrs.define
class Fixture:
    """A controller of a worker that answers no start."""

    controller: worker_control.WorkerController
    worker: SilentWorker
    clock: clock.BootClock

    async def start(self):
        """Order a start, and return its outcome."""
        state = await self.controller.attach(1 << 24)
        order = messages.StartRun(KEY, 1, "", "", CAPACITY, state.incarnation)
        return await self.controller.orders.start(order)


@pytest.fixture
async def system():
    """Return a controller with a worker."""
    clock_source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    worker = SilentWorker(clock_source)
    controller = worker_control.WorkerController("node", worker, 6.0, clock_source, events)
    controller.handle_heartbeat(HEARTBEAT)
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        yield Fixture(controller, worker, clock_source)
        group.cancel_scope.cancel()


async def test_start_without_a_limit_is_repeated(system):
    system.controller.renew_lead_lease(system.clock.now_s())
    assert not (await system.start()).is_started
    assert len(system.worker.starts) == 3


async def test_nothing_starts_while_the_lead_allows_no_starts(system):
    system.controller.renew_lead_lease(system.clock.now_s(), 0.0)
    outcome = await system.start()
    assert outcome == messages.StartOutcome(False, workers.RefusalReason.NO_START_LEASE)
    assert system.worker.starts == []
    system.controller.renew_lead_lease(system.clock.now_s(), 5.0)
    await system.start()
    assert system.worker.starts


async def test_unanswered_start_is_not_repeated_after_the_start_lease(system):
    await system.controller.attach(1 << 24)
    granted_s = system.clock.now_s()
    system.controller.renew_lead_lease(granted_s, 0.04)
    outcome = await system.start()
    assert outcome == messages.StartOutcome(False, workers.RefusalReason.NO_START_LEASE)
    assert all(expiry_s <= granted_s + 0.04 for _, expiry_s in system.worker.starts)


async def test_unanswered_start_is_not_repeated_once_the_lead_allows_no_more(system):
    """An evacuation begins between two attempts of one start."""
    system.controller.renew_lead_lease(system.clock.now_s(), 5.0)
    start = system.worker.start

    async def start_and_evacuate(order):
        system.controller.renew_lead_lease(system.clock.now_s(), 0.0)
        await start(order)

    system.worker.start = start_and_evacuate
    outcome = await system.start()
    assert outcome == messages.StartOutcome(False, workers.RefusalReason.NO_START_LEASE)
    assert len(system.worker.starts) == 1


class PausingClock(clock.ManualClock):
    """The clock of a process that is paused for a second after each reading."""

    is_pausing = False

    def now_s(self):
        reading_s = super().now_s()
        if self.is_pausing:
            self.advance(1.0)
        return reading_s


@pytest.fixture
def agent_clock():
    return PausingClock(100.0)


@pytest.fixture
def worker_lease(agent_clock):
    """Return the agent's view of the lease."""
    events = journal.Journal("node", "dc", causality.HybridClock(agent_clock), metrics.Metrics())
    return lease.Lease(LEASE_MAX_S, agent_clock, events)


@pytest.mark.parametrize("start_lease_s", [0.0, 0.5, 1.5, 5.0])
@pytest.mark.parametrize("is_pausing", [False, True])
def test_start_order_expires_within_the_start_lease_on_a_slow_clock(
    worker_lease, agent_clock, start_lease_s, is_pausing
):
    worker_lease.set_worker_clock(0)
    read_s = worker_lease._worker_clock_read_s
    worker_lease.renew_lead_lease(read_s, start_lease_s)
    agent_clock.is_pausing = is_pausing
    expiry_ms = worker_lease.renew_by_start(START_DURATION_S)
    slow_clock_expiry_s = read_s + expiry_ms / 1000.0 / SLOW_RATE
    assert slow_clock_expiry_s <= read_s + start_lease_s + 0.001


def test_order_without_a_limit_is_valid_for_its_whole_duration(worker_lease):
    worker_lease.set_worker_clock(0)
    worker_lease.renew_lead_lease(100.0)
    assert worker_lease.renew_by_start(START_DURATION_S) == START_DURATION_S * 1000
    worker_lease.renew_lead_lease(100.0, 60.0)
    assert worker_lease.renew_by_start(START_DURATION_S) == START_DURATION_S * 1000


def _exchange(message, without=()):
    """Return a message as a process reads it whose peer does not know some of the fields."""
    codec = messages.codec()
    frame = codecs.Frame(codecs.FrameKind.CALL, 1, 0, message)
    unpacker = codec.unpacker()
    unpacker.feed(codec.pack(frame))
    kind, call_id, stamp, name, body = next(iter(unpacker))
    for path in without:
        *parents, last = path
        values = body
        for parent in parents:
            values = values[parent]
        del values[last]
    return codec.structure([kind, call_id, stamp, name, body]).message


def test_messages_of_the_former_version_are_read():
    assert _exchange(messages.Vouched(900), [("start_lease_ms",)]) == messages.Vouched(None)
    assert _exchange(messages.Vouch("n", "dc-a"), [("data_centre",)]) == messages.Vouch("n", "")
    missing = [("heartbeat", "data_centre"), ("heartbeat", "cold_remaining_ms")]
    state = _exchange(messages.AgentState("n", HEARTBEAT), missing)
    assert state.heartbeat == attrs.evolve(HEARTBEAT, data_centre="", cold_remaining_ms=0)


def test_former_version_reads_messages_with_fields_that_it_does_not_know():
    codec = messages.codec()
    fields = ["c", 1, 0, "Vouch", {"node": "n", "data_centre": "dc-a", "later": 1}]
    assert codec.structure(fields).message == messages.Vouch("n", "dc-a")


def test_worker_that_becomes_cold_or_warm_is_reported():
    cold = attrs.evolve(HEARTBEAT, sequence=2, cold_remaining_ms=4000)
    warmer = attrs.evolve(cold, sequence=3, cold_remaining_ms=3000)
    assert HEARTBEAT.has_changes(cold)
    assert not cold.has_changes(warmer)
    assert warmer.has_changes(attrs.evolve(HEARTBEAT, sequence=4))
