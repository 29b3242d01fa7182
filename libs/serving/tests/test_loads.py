"""Decisions on the load of a listener: who is closed, who is refused, and what stays open."""

import pytest

from papayaspar_serving import limits, load_tables, loads

CONNECTIONS_MAX = 10
BUDGET_BYTES = limits.MEBIBYTE
BODY_BYTES = 200 * limits.KIBIBYTE
SMALL_BYTES = 500
ATTACKER, CLIENT = "192.0.2.1", "192.0.2.2"
HEADER_TIMEOUT_S, IDLE_TIMEOUT_S = 3.0, 15.0


class Listener:
    """A table of loads whose closures are carried out."""

    def __init__(self):
        request_limits = limits.RequestLimits(
            header_timeout_s=HEADER_TIMEOUT_S, idle_timeout_s=IDLE_TIMEOUT_S
        )
        self.table = load_tables.LoadTable(
            limits.ListenerLimits(CONNECTIONS_MAX, BUDGET_BYTES),
            limits.FixedRequestLimits(request_limits),
            loads.SilentObserver(),
        )
        self.closed = []

    def send(self, load, count, now_s):
        """Receive bytes of a request whose header is complete."""
        self._close(self.table.receive(load, count, now_s))
        if load.phase is loads.Phase.HEADER:
            self._close(self.table.begin_body(load, 0, now_s))

    def request(self, address, count, now_s):
        """Open a connection, receive bytes on it and return its load."""
        load = self.table.open(address, now_s)
        self.send(load, count, now_s)
        return load

    def check(self, now_s):
        """Close what has expired, as the listener does at intervals."""
        self._close(self.table.expired(now_s))
        return [closure.cause for closure in self.closed]

    def _close(self, closures):
        for closure in closures:
            self.closed.append(closure)
            self.table.begin_closing(closure.load, 0.0)

    def is_open(self, load):
        """Return whether a load was not closed."""
        return all(closure.load is not load for closure in self.closed)


@pytest.fixture
def listener():
    return Listener()


def test_crowd_of_large_bodies_stays_within_the_budget(listener):
    """Guard against many large bodies at once that stop short of their end."""
    for _ in range(100):
        listener.request(ATTACKER, BODY_BYTES, 0.0)
        assert listener.table.held_bytes <= BUDGET_BYTES
    assert {closure.cause for closure in listener.closed} == {loads.Cause.MEMORY}


def test_newest_of_a_crowd_is_refused(listener):
    """Bodies that arrive first are served, so that some of a crowd are."""
    crowd = [listener.request(ATTACKER, BODY_BYTES, 0.0) for _ in range(6)]
    assert [listener.is_open(load) for load in crowd] == [True] * 3 + [False] * 3


def test_stalled_body_makes_room_for_a_new_one(listener):
    crowd = [listener.request(ATTACKER, BODY_BYTES, 0.0) for _ in range(3)]
    late = listener.request(ATTACKER, BODY_BYTES, 5.0)
    assert listener.is_open(late)
    assert [listener.is_open(load) for load in crowd].count(False) == 1


@pytest.mark.parametrize("address", [ATTACKER, CLIENT])
def test_small_request_passes_beside_a_crowd_of_large_ones(listener, address):
    for _ in range(20):
        listener.request(ATTACKER, BODY_BYTES, 0.0)
    assert listener.is_open(listener.request(address, SMALL_BYTES, 0.0))


def test_small_request_passes_beside_a_crowd_of_small_ones(listener):
    """Guard against a crowd that fills the budget with requests that count as small."""
    for _ in range(100):
        listener.request(ATTACKER, load_tables.SMALL_REQUEST_BYTES, 0.0)
    assert listener.is_open(listener.request(CLIENT, SMALL_BYTES, 0.0))
    assert listener.table.held_bytes <= BUDGET_BYTES


def test_client_with_many_connections_pays_before_one_with_a_large_body(listener):
    """Guard against a crowd of middling bodies that pushes out another client's larger one."""
    honest = listener.request(CLIENT, BODY_BYTES, 0.0)
    for _ in range(60):
        listener.request(ATTACKER, 20 * limits.KIBIBYTE, 0.0)
        listener.send(honest, 1, 0.0)
    assert listener.is_open(honest)


def test_complete_request_is_never_closed_for_memory(listener):
    """A request that may have run can't be refused any more."""
    complete = listener.request(CLIENT, BODY_BYTES, 0.0)
    listener.table.begin_answer(complete, 0.0)
    for _ in range(50):
        listener.request(ATTACKER, BODY_BYTES, 100.0)
    assert listener.is_open(complete)


def test_bytes_of_a_finished_request_are_released(listener):
    load = listener.request(CLIENT, BODY_BYTES, 0.0)
    listener.table.begin_answer(load, 0.0)
    listener.table.finish(load, 0, 0.0)
    assert listener.table.held_bytes == 0
    assert load.phase is loads.Phase.IDLE


def test_single_request_of_any_size_within_the_large_share_is_served(listener):
    count = int(BUDGET_BYTES * load_tables.LARGE_REQUESTS_RATIO)
    assert listener.is_open(listener.request(CLIENT, count, 0.0))


def test_drip_of_single_bytes_counts_as_stalled(listener):
    """Guard against a client that sends one byte a second to look busy."""
    drip = listener.request(ATTACKER, BODY_BYTES, 0.0)
    for second in range(1, 10):
        listener.send(drip, 1, float(second))
        assert listener.is_open(drip)
    assert listener.check(load_tables.BODY_TIMEOUT_S) == [loads.Cause.BODY_TIMEOUT]


def test_steady_body_above_the_least_rate_is_not_timed_out(listener):
    load = listener.request(CLIENT, SMALL_BYTES, 0.0)
    for second in range(1, 60):
        listener.send(load, load_tables.BODY_RATE_MIN_BYTES_PER_S + 1, float(second))
        assert listener.check(float(second)) == []


def test_header_that_does_not_end_is_timed_out(listener):
    load = listener.table.open(ATTACKER, 0.0)
    listener.table.receive(load, SMALL_BYTES, 1.0)
    assert listener.check(1.0 + HEADER_TIMEOUT_S - 0.1) == []
    assert listener.check(1.0 + HEADER_TIMEOUT_S) == [loads.Cause.HEADER_TIMEOUT]


def test_idle_connection_stays_open_for_the_configured_time(listener):
    """Clients may keep connections open without a request until the idle timeout."""
    listener.table.open(CLIENT, 0.0)
    assert listener.check(IDLE_TIMEOUT_S) == []
    assert listener.check(IDLE_TIMEOUT_S + load_tables.IDLE_MARGIN_S) == [loads.Cause.IDLE_TIMEOUT]


def test_client_that_does_not_read_its_answer_is_closed(listener):
    load = listener.request(ATTACKER, SMALL_BYTES, 0.0)
    listener.table.begin_answer(load, 0.0)
    load.unread_since_s = 0.0
    assert listener.check(load_tables.READ_TIMEOUT_S - 1.0) == []
    assert listener.check(load_tables.READ_TIMEOUT_S) == [loads.Cause.READ_TIMEOUT]


def test_running_request_has_no_timeout(listener):
    load = listener.request(CLIENT, SMALL_BYTES, 0.0)
    listener.table.begin_answer(load, 0.0)
    assert listener.check(3600.0) == []


def test_suspension_of_the_process_times_nobody_out(listener):
    """Guard against counting a suspension of this process as silence of its clients."""
    listener.table.open(CLIENT, 0.0)
    listener.request(CLIENT, SMALL_BYTES, 0.0)
    listener.table.check_delay_s(0.0)
    assert listener.check(1000.0) == []


def test_time_spent_waiting_for_a_turn_is_not_the_clients(listener):
    load = listener.request(CLIENT, SMALL_BYTES, 0.0)
    listener.table.excuse(load, 100.0)
    assert listener.check(100.0 + load_tables.BODY_TIMEOUT_S - 1.0) == []


def test_longest_idle_connection_makes_room(listener):
    """Guard against more connections than the process has descriptors for."""
    idle = [listener.table.open(ATTACKER, float(second)) for second in range(CONNECTIONS_MAX)]
    (closure,) = listener.table.make_room(20.0)
    assert closure.load is idle[0]
    assert closure.cause is loads.Cause.CONNECTIONS


def test_oldest_incomplete_request_makes_room_when_none_is_idle(listener):
    crowd = [listener.request(ATTACKER, 10, float(second)) for second in range(CONNECTIONS_MAX)]
    (closure,) = listener.table.make_room(20.0)
    assert closure.load is crowd[0]


def test_connection_is_refused_when_a_request_runs_on_each(listener):
    for _ in range(CONNECTIONS_MAX):
        listener.table.begin_answer(listener.request(CLIENT, 10, 0.0), 0.0)
    assert listener.table.make_room(20.0) is None


def test_connection_below_the_limit_closes_none(listener):
    listener.table.open(CLIENT, 0.0)
    assert listener.table.make_room(0.0) == ()
    assert listener.table.make_room(0.0, is_exhausted=True) != ()


@pytest.mark.parametrize("memory_mb", [160, 300, 552])
def test_limits_of_a_machine_leave_most_memory_to_the_program(memory_mb):
    derived = limits.ListenerLimits.of_machine(memory_mb, 4100)
    used_bytes = derived.connections_max * limits.CONNECTION_BYTES + derived.requests_max_bytes
    assert used_bytes <= memory_mb * limits.MEBIBYTE / 3
    assert derived.connections_max <= 4100 - limits.RESERVED_FDS
