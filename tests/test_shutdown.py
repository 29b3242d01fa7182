"""A drain and a graceful shutdown cut no request, and a leaving worker gets nothing new."""

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
PRINTS = 40


class Load:
    """Callers that send one request after the other until they are told to end."""

    def __init__(self, system):
        self.system = system
        self.ended = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(THREADS + 1)
        entries = system.entries
        self.callers = []
        for number in range(THREADS):
            self.add(entries[number % len(entries)])

    def add(self, entry):
        """Start one more caller, of one entry."""
        caller = self.pool.submit(self.call, entry, len(self.callers))
        self.callers.append(caller)
        return caller

    def call(self, entry, caller):
        """Return one entry and outcome of each request; a refused connection ends the caller."""
        outcomes = []
        while not self.ended.is_set():
            payload = {"n": f"{caller}-{len(outcomes)}", "service_ms": SERVICE_MS}
            try:
                response = self.system.request(entry, idempotent=False, payload=payload)
            except httpx.ConnectError:
                break
            own = response.status_code == 200 and response.json()["result"]["payload"] == payload
            outcomes.append((response.status_code, own))
        return outcomes

    def end(self):
        """Return the outcomes of all callers."""
        self.ended.set()
        return [outcome for caller in self.callers for outcome in caller.result()]


@pytest.fixture
def load(small_system):
    """Return callers that load a small system."""
    running = Load(small_system)
    time.sleep(LOAD_S)
    yield running
    running.end()


def check_uncut(outcomes):
    """Check that each accepted request got the whole answer to itself."""
    assert len(outcomes) > THREADS
    assert set(outcomes) == {(200, True)}


@pytest.mark.xfail(strict=False, reason="KNOWN-RED.txt: failed once in CI beside load")
def test_sigterm_of_an_agent_under_load_cuts_no_request(small_system, load):
    leaving = small_system.agents["worker-1"]
    leaving.send(signal.SIGTERM)
    assert leaving.process.wait(EXIT_TIMEOUT_S) == 0
    time.sleep(LOAD_S)
    check_uncut(load.end())
    assert small_system.counts("worker-1")["running"] == 0


def test_sigterm_of_an_entry_under_load_turns_unready_first_and_cuts_no_request(small_system, load):
    leaving = small_system.start_entry("entry-3", "--unready-s", "1.0")
    small_system.wait_revision(1)
    small_system.wait_until(lambda: small_system.usable_workers(leaving) == 3)
    extra = load.add(leaving)
    time.sleep(LOAD_S)
    assert small_system.get(f"http://{leaving.http}/readyz").status_code == 200
    leaving.send(signal.SIGTERM)
    small_system.wait_until(
        lambda: small_system.get(f"http://{leaving.http}/readyz").status_code == 503
    )
    assert small_system.request(leaving).status_code == 200
    assert leaving.process.wait(EXIT_TIMEOUT_S) == 0
    check_uncut(load.end())
    assert set(extra.result()) == {(200, True)}


def test_a_drained_worker_gets_nothing_new_and_finishes_what_it_has(small_system, load):
    url = f"http://{small_system.entries[0].operators}/v1/workers/worker-2/drain"
    assert small_system.client.post(url).status_code < 300
    time.sleep(DRAIN_S)
    before = small_system.counts("worker-2")
    time.sleep(LOAD_S)
    after = small_system.counts("worker-2")
    check_uncut(load.end())
    assert after["by_request"] == before["by_request"]
    assert (after["running"], after["finished"]) == (0, sum(after["by_request"].values()))


def test_prints_go_on_after_an_agent_has_left(small_system):
    small_system.wait_shards()
    small_system.agents["worker-1"].send(signal.SIGTERM)
    assert small_system.agents["worker-1"].process.wait(EXIT_TIMEOUT_S) == 0
    small_system.wait_workers(2)
    time.sleep(DRAIN_S)
    entry = small_system.entries[0]
    asked = [(entry, {"key": f"left-{n}", "idempotent": False}) for n in range(PRINTS)]
    answered = sum(response.status_code == 200 for response in small_system.ask_all(asked))
    assert answered >= 0.95 * len(asked)
