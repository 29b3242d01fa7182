"""Draining and graceful shutdown interrupt no request; a draining worker gets no new requests."""

import concurrent.futures
import signal
import threading
import time

import httpx
import pytest

THREADS = 6
SERVICE_MS = 800
LOAD_S = 1.0
DRAIN_S = 3.0
EXIT_TIMEOUT_S = 20.0
PRINT_COUNT = 40


class Load:
    """Concurrent callers, each of which sends one request after another until stopped."""

    def __init__(self, system):
        self.system = system
        self.stopped = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(THREADS + 1)
        entries = system.entries
        self.callers = []
        for number in range(THREADS):
            self.add(entries[number % len(entries)])

    def add(self, entry):
        """Start another caller of an entry."""
        caller = self.pool.submit(self.call, entry, len(self.callers))
        self.callers.append(caller)
        return caller

    def call(self, entry, caller):
        """Send requests until stopped or the connection is refused, and return their outcomes.

        An outcome is the status and whether the result belongs to the request.
        """
        outcomes = []
        while not self.stopped.is_set():
            payload = {"n": f"{caller}-{len(outcomes)}", "service_ms": SERVICE_MS}
            try:
                response = self.system.request(entry, idempotent=False, payload=payload)
            except httpx.ConnectError:
                break
            is_own_result = (
                response.status_code == 200 and response.json()["result"]["payload"] == payload
            )
            outcomes.append((response.status_code, is_own_result))
        return outcomes

    def stop(self):
        """Stop the callers and return all their outcomes."""
        self.stopped.set()
        return [outcome for caller in self.callers for outcome in caller.result()]


@pytest.fixture
def load(small_system):
    """Return callers that send requests to a small system."""
    running_load = Load(small_system)
    time.sleep(LOAD_S)
    yield running_load
    running_load.stop()


def check_complete(outcomes):
    """Check that every request got the complete answer that belongs to it."""
    assert len(outcomes) > THREADS
    assert set(outcomes) == {(200, True)}


def test_sigterm_of_an_agent_under_load_cuts_no_request(small_system, load):
    leaving = small_system.agents["worker-1"]
    leaving.send_signal(signal.SIGTERM)
    assert leaving.process.wait(EXIT_TIMEOUT_S) == 0
    time.sleep(LOAD_S)
    check_complete(load.stop())
    assert small_system.counts("worker-1")["running"] == 0


def test_sigterm_of_an_entry_under_load_turns_unready_first_and_cuts_no_request(small_system, load):
    leaving = small_system.start_entry("entry-3", "--unready-s", "1.0")
    small_system.wait_revision(1)
    small_system.wait_until(lambda: small_system.usable_workers(leaving) == 3)
    extra_caller = load.add(leaving)
    time.sleep(LOAD_S)
    assert small_system.get(f"http://{leaving.http}/readyz").status_code == 200
    leaving.send_signal(signal.SIGTERM)
    small_system.wait_until(
        lambda: small_system.get(f"http://{leaving.http}/readyz").status_code == 503
    )
    assert small_system.request(leaving).status_code == 200
    assert leaving.process.wait(EXIT_TIMEOUT_S) == 0
    check_complete(load.stop())
    assert set(extra_caller.result()) == {(200, True)}


def test_drained_worker_gets_no_new_requests_and_finishes_running_ones(small_system, load):
    url = f"http://{small_system.entries[0].operators}/v1/workers/worker-2/drain"
    assert small_system.client.post(url).status_code < 300
    time.sleep(DRAIN_S)
    before = small_system.counts("worker-2")
    time.sleep(LOAD_S)
    after = small_system.counts("worker-2")
    check_complete(load.stop())
    assert after["by_request"] == before["by_request"]
    assert (after["running"], after["finished"]) == (0, sum(after["by_request"].values()))


def test_non_idempotent_requests_succeed_after_the_departure_of_an_agent(small_system):
    small_system.wait_shards()
    small_system.agents["worker-1"].send_signal(signal.SIGTERM)
    assert small_system.agents["worker-1"].process.wait(EXIT_TIMEOUT_S) == 0
    small_system.wait_workers(2)
    time.sleep(DRAIN_S)
    entry = small_system.entries[0]
    requests = [(entry, {"key": f"left-{n}", "idempotent": False}) for n in range(PRINT_COUNT)]
    succeeded = sum(response.status_code == 200 for response in small_system.request_all(requests))
    assert succeeded >= 0.95 * len(requests)
