"""When a lease counts as expired, on a worker whose clock is slow or was read long ago."""

import pytest

from papayaspar_events import journal, metrics
from papayaspar_model import causality, clock
from papayaspar_runs import lease

LEASE_MAX_S = 6.0
START_DURATION_S = 1.5
# Rate of the slowest clock of a worker (worker API).
SLOW_RATE = 0.98


class SlowWorkerClock:
    """The lease of a worker whose clock is slow."""

    def __init__(self, agent_clock):
        self._agent_clock = agent_clock
        self._expiry_ms = 0

    def clock_ms(self):
        return int(self._agent_clock.now_s() * 1000.0 * SLOW_RATE)

    def apply(self, expiry_ms):
        longest_ms = self.clock_ms() + int(LEASE_MAX_S * 1000)
        self._expiry_ms = max(self._expiry_ms, min(expiry_ms, longest_ms))

    @property
    def has_expired(self):
        return self.clock_ms() >= self._expiry_ms


@pytest.fixture
def agent_clock():
    return clock.ManualClock(100.0)


@pytest.fixture
def worker(agent_clock):
    return SlowWorkerClock(agent_clock)


@pytest.fixture
def worker_lease(agent_clock):
    """Return the agent's view of the lease."""
    events = journal.Journal("node", "dc", causality.HybridClock(agent_clock), metrics.Metrics())
    return lease.Lease(LEASE_MAX_S, agent_clock, events)


# Guards against a lease that counts as expired too early after the agent was paused: it computed
# the expiry from an old reading of the worker's clock, as if that clock were exact (issue 32).
@pytest.mark.parametrize("is_start", [False, True])
def test_old_reading_of_a_slow_clock_does_not_extend_the_lease(
    worker_lease, worker, agent_clock, is_start
):
    worker_lease.set_worker_clock(worker.clock_ms())
    agent_clock.advance(20.0)
    worker_lease.renew_lead_lease(agent_clock.now_s())
    if is_start:
        expiry_ms = worker_lease.renew_by_start(START_DURATION_S)
    else:
        expiry_ms = worker_lease.renew(True)
    # The call arrives late, so that the worker does not shorten the lease to its maximum.
    agent_clock.advance(1.0)
    worker.apply(expiry_ms)
    while not worker_lease.has_expired:
        agent_clock.advance(0.01)
    assert worker.has_expired


class PausingClock(clock.ManualClock):
    """The clock of a process that is paused for a second after each reading."""

    pause_s = 1.0

    def now_s(self):
        reading_s = super().now_s()
        self.advance(self.pause_s)
        return reading_s


# Guards against a pause of the agent between the two readings of its clock for one renewal: the
# lease counted as expired earlier than the renewal that was sent (issue 32).
def test_pause_during_a_renewal_does_not_extend_the_lease():
    agent_clock = PausingClock(100.0)
    events = journal.Journal("node", "dc", causality.HybridClock(agent_clock), metrics.Metrics())
    worker_lease = lease.Lease(LEASE_MAX_S, agent_clock, events)
    agent_clock.advance(LEASE_MAX_S)
    worker_lease.set_worker_clock(0)
    read_s = worker_lease._worker_clock_read_s
    expiry_ms = worker_lease.renew_by_start(START_DURATION_S)
    assert worker_lease._expiry_s - read_s >= expiry_ms / 1000.0 / SLOW_RATE


@pytest.mark.parametrize("start_lease_s", [0.0, 0.5, 1.5, 5.0])
@pytest.mark.parametrize("pause_s", [0.0, 1.0])
def test_start_order_expires_within_the_start_lease_on_a_slow_clock(start_lease_s, pause_s):
    agent_clock = PausingClock(100.0)
    agent_clock.pause_s = 0.0
    events = journal.Journal("node", "dc", causality.HybridClock(agent_clock), metrics.Metrics())
    worker_lease = lease.Lease(LEASE_MAX_S, agent_clock, events)
    worker_lease.set_worker_clock(0)
    read_s = worker_lease._worker_clock_read_s
    worker_lease.renew_lead_lease(read_s, start_lease_s)
    agent_clock.pause_s = pause_s
    expiry_ms = worker_lease.renew_by_start(START_DURATION_S)
    assert expiry_ms / 1000.0 / SLOW_RATE <= start_lease_s + 0.001


def test_start_order_without_a_limit_is_valid_for_its_whole_duration(worker_lease):
    worker_lease.set_worker_clock(0)
    for start_lease_s in (None, 60.0):
        worker_lease.renew_lead_lease(100.0, start_lease_s)
        assert worker_lease.renew_by_start(START_DURATION_S) == START_DURATION_S * 1000
