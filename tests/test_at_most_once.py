"""A non-idempotent request runs at most once, by the targets' own counts."""

import concurrent.futures
import itertools
import signal
import time

import httpx
import pytest

SPACING_S = 0.05
SERVICE_MS = 200
FROZEN_S = 4.0


def prints(system, prefix, count, **fields):
    """Return keyed prints, in turn for each entry."""
    entries = itertools.cycle(system.entries)
    made = []
    for number in range(count):
        payload = {"n": f"{prefix}-{number}", "service_ms": SERVICE_MS}
        order = {"key": f"{prefix}-{number}", "idempotent": False, "payload": payload}
        made.append((next(entries), order | fields))
    return made


def send_spaced(pool, system, asked):
    """Send requests one after the other, without waiting for their answers."""
    sent = []
    for entry, fields in asked:
        sent.append(pool.submit(system.ask_all, [(entry, fields)]))
        time.sleep(SPACING_S)
    return sent


def check_once(system, asked, responses):
    """Check answers of keyed prints against the targets' counts."""
    for (_, fields), response in zip(asked, responses, strict=True):
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


def resend(system, asked, entry):
    """Send the same keys again through one entry and check them."""
    again = [(entry, fields | {"deadline_ms": 4000}) for _, fields in asked]
    responses = system.ask_all(again)
    check_once(system, again, responses)
    return responses


@pytest.fixture
def keyed_system(small_system):
    """Return a running small system whose shards of keys have owners."""
    small_system.wait_shards()
    return small_system


def test_a_key_at_both_entries_at_once_runs_once_and_is_answered_the_same(shared_system):
    shared_system.wait_shards()
    first, second = shared_system.entries
    asked = prints(shared_system, "twice", 8)
    both = [(entry, fields) for _, fields in asked for entry in (first, second)]
    responses = shared_system.ask_all(both)
    check_once(shared_system, both, responses)
    for one, other in zip(responses[::2], responses[1::2], strict=True):
        assert one.json()["result"] == other.json()["result"]


def test_a_key_sent_again_later_gets_the_same_answer(shared_system):
    shared_system.wait_shards()
    asked = prints(shared_system, "again", 8)
    before = shared_system.ask_all(asked)
    after = resend(shared_system, asked, shared_system.entries[1])
    assert [response.status_code for response in before + after] == [200] * 16
    for one, other in zip(before, after, strict=True):
        assert one.json()["result"] == other.json()["result"]


def test_a_key_with_other_content_is_a_conflict_and_does_not_run(shared_system):
    shared_system.wait_shards()
    first, second = shared_system.entries
    shared_system.request(first, "content", idempotent=False, payload={"n": 1})
    other = shared_system.request(second, "content", idempotent=False, payload={"n": 2})
    assert (other.status_code, other.json()["code"]) == (409, "conflict")
    assert shared_system.executions("content") == 1


def test_a_print_past_its_deadline_is_unknown_and_never_runs_again(shared_system):
    shared_system.wait_shards()
    slow = {"n": "late", "service_ms": 1500}
    asked = [(shared_system.entries[0], {"key": "late", "idempotent": False, "payload": slow})]
    late = shared_system.ask_all([(entry, f | {"deadline_ms": 300}) for entry, f in asked])[0]
    assert (late.status_code, late.json()["ran"]) == (504, "unknown")
    others = prints(shared_system, "beside", 24)
    check_once(shared_system, others, shared_system.ask_all(others))
    again = resend(shared_system, asked, shared_system.entries[1])[0]
    assert again.status_code == 200 or again.json()["ran"] == "unknown"
    assert shared_system.executions("late") == 1


def test_prints_go_on_while_the_log_is_away(shared_system):
    shared_system.wait_shards()
    shared_system.fail_log(down=True)
    asked = prints(shared_system, "outage", 40)
    responses = shared_system.ask_all(asked)
    shared_system.fail_log()
    check_once(shared_system, asked, responses)
    succeeded = sum(response.status_code == 200 for response in responses)
    assert succeeded >= 0.95 * len(asked)


def test_an_entry_killed_at_every_step_of_a_print(keyed_system):
    dying, other = keyed_system.entries
    asked = [(dying, fields) for _, fields in prints(keyed_system, "entry", 12)]
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        sent = send_spaced(pool, keyed_system, asked)
        dying.kill()
        responses = [future.result()[0] for future in sent]
    check_once(keyed_system, asked, responses)
    again = resend(keyed_system, asked, other)
    for before, after in zip(responses, again, strict=True):
        if isinstance(before, httpx.TransportError) or before.status_code != 200:
            continue
        assert after.json()["result"] == before.json()["result"]


def test_an_agent_killed_at_every_step_of_a_print_and_started_again(keyed_system):
    asked = prints(keyed_system, "agent", 24)
    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        sent = send_spaced(pool, keyed_system, asked)
        keyed_system.agents["worker-1"].kill()
        responses = [future.result()[0] for future in sent]
    check_once(keyed_system, asked, responses)
    resend(keyed_system, asked, keyed_system.entries[0])
    keyed_system.start_agent("worker-1")
    keyed_system.wait_workers(3)
    keyed_system.wait_shards(revision=2)
    resend(keyed_system, asked, keyed_system.entries[1])


def test_an_entry_and_an_agent_frozen_past_their_streams_silence_run_nothing_twice(keyed_system):
    first, second = keyed_system.entries
    frozen = (first, keyed_system.agents["worker-2"])
    asked = prints(keyed_system, "frozen", 16)
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        sent = send_spaced(pool, keyed_system, asked)
        for process in frozen:
            process.send(signal.SIGSTOP)
        resend(keyed_system, asked, second)
        time.sleep(FROZEN_S)
        for process in frozen:
            process.send(signal.SIGCONT)
        responses = [future.result()[0] for future in sent]
    check_once(keyed_system, asked, responses)
    resend(keyed_system, asked, first)
