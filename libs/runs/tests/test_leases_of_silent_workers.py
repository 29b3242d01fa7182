"""The lease of a worker that is silent towards its agent, and that starts renew."""

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
LEASE_MAX_S = 2.0
# Time without an answer until a call fails, in seconds.
SILENCE_S = 0.05


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class LeasedWorker(workers.Worker):
    """Keeps a lease; leaves starts unanswered, and polls too while ``is_silent``.

    Starts renew the lease up to their expiry.
    """

    def __init__(self, clock_source):
        self._clock = clock_source
        self.is_silent = False
        self.starts = 0
        self.silent_polls = 0
        self.expiry_ms = 0

    def clock_ms(self):
        return int(self._clock.now_s() * 1000)

    @property
    def has_lease_expired(self):
        return self.clock_ms() >= self.expiry_ms

    def _renew(self, expiry_ms):
        longest_ms = self.clock_ms() + int(LEASE_MAX_S * 1000)
        self.expiry_ms = max(self.expiry_ms, min(expiry_ms, longest_ms))

    async def start(self, order):
        self.starts += 1
        self._renew(order.expiry_ms)
        await anyio.sleep(SILENCE_S)
        raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)

    async def stop(self, task, run, token, worker):
        raise AssertionError

    async def poll(self, token, acknowledged_number, expiry_ms, wait_ms, worker):
        if self.is_silent:
            self.silent_polls += 1
            await anyio.sleep(SILENCE_S)
            raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)
        if expiry_ms is not None:
            self._renew(expiry_ms)
        await anyio.sleep(min(wait_ms, 50) / 1000.0)
        return workers.WorkerStatus(self.clock_ms(), BORN_MS, (), ())


class HalfSilentWorker(LeasedWorker):
    """While ``is_silent``, answers only the polls that follow a start without an answer.

    The agent's own polls fail once, and then wait for as long as the test runs. The first start
    gets no answer for a second.
    """

    async def start(self, order):
        self.starts += 1
        if self.starts > 1:
            self._renew(order.expiry_ms)
            return
        self.is_silent = True
        await anyio.sleep(1.0)
        raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)

    async def poll(self, token, acknowledged_number, expiry_ms, wait_ms, worker):
        if self.is_silent:
            self.silent_polls += 1
            if self.silent_polls == 1:
                raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)
            if self.silent_polls == 2:
                await anyio.sleep_forever()
            return workers.WorkerStatus(self.clock_ms(), BORN_MS, (), ())
        return await super().poll(token, acknowledged_number, expiry_ms, wait_ms, worker)


@pytest.fixture
def clock_source():
    return clock.BootClock()


@pytest.fixture
def make_controller(clock_source):
    """Return a factory of controllers with a lead, for a worker."""

    def make(worker):
        events = journal.Journal(
            "node", "dc", causality.HybridClock(clock_source), metrics.Metrics()
        )
        controller = worker_control.WorkerController(
            "node", worker, LEASE_MAX_S, clock_source, events
        )
        controller.handle_heartbeat(
            workers.Heartbeat("w-1", "pool", workers.Condition.READY, CAPACITY, (), "", 1, BORN_MS)
        )
        controller.renew_lead_lease(clock_source.now_s())
        return controller

    return make


# Guards against a start that is sent to a silent worker once its lease has been reported as
# expired: it may still be executed, beside the run that the lead starts elsewhere (issue 32).
async def test_no_start_is_sent_after_the_lease_has_expired(make_controller, clock_source):
    worker = LeasedWorker(clock_source)
    controller = make_controller(worker)
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        with anyio.fail_after(20.0):
            state = await controller.attach(1 << 24)
            worker.is_silent = True
            order = messages.StartRun(KEY, 1, "", "", CAPACITY, state.incarnation)
            outcome = await controller.orders.start(order)
        group.cancel_scope.cancel()
    assert outcome == messages.StartOutcome(False, workers.RefusalReason.UNREACHABLE)
    assert worker.starts == 1


# Guards against a lease that counts as expired although a repeated start has renewed it: the lead
# started all tasks of the worker elsewhere while they ran on (issue 32).
async def test_lease_that_a_repeated_start_renewed_has_not_expired(make_controller, clock_source):
    worker = HalfSilentWorker(clock_source)
    controller = make_controller(worker)
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        with anyio.fail_after(20.0):
            state = await controller.attach(1 << 24)
            # The worker has answered and renewed its lease just now.
            await anyio.sleep(0.2)
            order = messages.StartRun(KEY, 1, "", "", CAPACITY, state.incarnation)
            await controller.orders.start(order)
            assert worker.starts == 2
            while not controller.state().has_lapsed:
                await anyio.sleep(0.01)
            is_expired = worker.has_lease_expired
        group.cancel_scope.cancel()
    assert is_expired
