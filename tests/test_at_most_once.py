"""Prints, which are non-idempotent requests with a key, run at most once by the targets' counts."""

import concurrent.futures
import itertools
import signal
import time

import httpx
import pytest

SPACING_S = 0.05
SERVICE_MS = 200
# Longer than the silence after which a stream is closed.
FREEZE_S = 4.0


def make_prints(system, prefix, count, **fields):
    """Return prints with different keys, distributed over the entries in turn."""
    entries = itertools.cycle(system.entries)
    requests = []
    for number in range(count):
        payload = {"n": f"{prefix}-{number}", "service_ms": SERVICE_MS}
        request = {"key": f"{prefix}-{number}", "idempotent": False, "payload": payload}
        requests.append((next(entries), request | fields))
    return requests


def send_spaced(pool, system, requests):
    """Send requests at a fixed spacing, without waiting for answers; return the futures.

    A fault injected after the last request hits requests at every step of their execution.
    """
    futures = []
    for entry, fields in requests:
        futures.append(pool.submit(system.request_all, [(entry, fields)]))
        time.sleep(SPACING_S)
    return futures


def check_once(system, requests, responses):
    """Check the answers to prints against the targets' counts."""
    for (_, fields), response in zip(requests, responses, strict=True):
        executions = system.executions(fields["key"])
        assert executions <= 1
        if isinstance(response, httpx.TransportError):
            continue
        if response.status_code == 200:
            assert executions == 1
            assert response.json()["result"]["payload"]["n"] == fields["key"]
            continue
        problem = response.json()
        assert problem["ran"] in ("no", "unknown"), problem
        if problem["ran"] == "no":
            assert executions == 0


def resend(system, requests, entry):
    """Send the same keys again through one entry, check the responses and return them."""
    again = [(entry, fields | {"deadline_ms": 4000}) for _, fields in requests]
    responses = system.request_all(again)
    check_once(system, again, responses)
    return responses


@pytest.fixture
def keyed_system(small_system):
    """Return a running small system in which every shard of keys has an owner."""
    small_system.wait_shards()
    return small_system


def test_key_sent_to_both_entries_at_once_runs_once_with_equal_results(shared_system):
    shared_system.wait_shards()
    first, second = shared_system.entries
    requests = make_prints(shared_system, "twice", 8)
    duplicates = [(entry, fields) for _, fields in requests for entry in (first, second)]
    responses = shared_system.request_all(duplicates)
    check_once(shared_system, duplicates, responses)
    for earlier, later in zip(responses[::2], responses[1::2], strict=True):
        assert earlier.json()["result"] == later.json()["result"]


def test_a_key_sent_again_later_gets_the_same_answer(shared_system):
    shared_system.wait_shards()
    requests = make_prints(shared_system, "again", 8)
    before = shared_system.request_all(requests)
    after = resend(shared_system, requests, shared_system.entries[1])
    assert [response.status_code for response in before + after] == [200] * 16
    for earlier, later in zip(before, after, strict=True):
        assert earlier.json()["result"] == later.json()["result"]


def test_key_reused_with_other_content_is_a_conflict_and_does_not_run(shared_system):
    shared_system.wait_shards()
    first, second = shared_system.entries
    shared_system.request(first, "content", idempotent=False, payload={"n": 1})
    other = shared_system.request(second, "content", idempotent=False, payload={"n": 2})
    assert (other.status_code, other.json()["code"]) == (409, "conflict")
    assert shared_system.executions("content") == 1


def test_print_past_its_deadline_has_an_unknown_outcome_and_never_runs_again(shared_system):
    shared_system.wait_shards()
    slow = {"n": "late", "service_ms": 1500}
    prints = [(shared_system.entries[0], {"key": "late", "idempotent": False, "payload": slow})]
    late = shared_system.request_all([(entry, f | {"deadline_ms": 300}) for entry, f in prints])[0]
    assert (late.status_code, late.json()["ran"]) == (504, "unknown")
    others = make_prints(shared_system, "beside", 24)
    check_once(shared_system, others, shared_system.request_all(others))
    again = resend(shared_system, prints, shared_system.entries[1])[0]
    assert again.status_code == 200 or again.json()["ran"] == "unknown"
    assert shared_system.executions("late") == 1


def test_prints_succeed_during_a_log_outage(shared_system):
    shared_system.wait_shards()
    shared_system.set_log_faults(down=True)
    requests = make_prints(shared_system, "outage", 40)
    responses = shared_system.request_all(requests)
    shared_system.set_log_faults()
    check_once(shared_system, requests, responses)
    succeeded = sum(response.status_code == 200 for response in responses)
    assert succeeded >= 0.95 * len(requests)


def test_prints_run_at_most_once_when_an_entry_is_killed(keyed_system):
    dying, other = keyed_system.entries
    requests = [(dying, fields) for _, fields in make_prints(keyed_system, "entry", 12)]
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        futures = send_spaced(pool, keyed_system, requests)
        dying.kill()
        responses = [future.result()[0] for future in futures]
    check_once(keyed_system, requests, responses)
    again = resend(keyed_system, requests, other)
    for before, after in zip(responses, again, strict=True):
        if isinstance(before, httpx.TransportError) or before.status_code != 200:
            continue
        assert after.json()["result"] == before.json()["result"]


def test_prints_run_at_most_once_when_an_agent_is_killed_and_restarted(keyed_system):
    requests = make_prints(keyed_system, "agent", 24)
    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        futures = send_spaced(pool, keyed_system, requests)
        keyed_system.agents["worker-1"].kill()
        responses = [future.result()[0] for future in futures]
    check_once(keyed_system, requests, responses)
    resend(keyed_system, requests, keyed_system.entries[0])
    keyed_system.start_agent("worker-1")
    keyed_system.wait_workers(3)
    keyed_system.wait_shards(revision=2)
    resend(keyed_system, requests, keyed_system.entries[1])


def test_prints_run_at_most_once_when_an_entry_and_an_agent_freeze(keyed_system):
    first, second = keyed_system.entries
    frozen = (first, keyed_system.agents["worker-2"])
    requests = make_prints(keyed_system, "frozen", 16)
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        futures = send_spaced(pool, keyed_system, requests)
        for process in frozen:
            process.send_signal(signal.SIGSTOP)
        resend(keyed_system, requests, second)
        time.sleep(FREEZE_S)
        for process in frozen:
            process.send_signal(signal.SIGCONT)
        responses = [future.result()[0] for future in futures]
    check_once(keyed_system, requests, responses)
    resend(keyed_system, requests, first)
