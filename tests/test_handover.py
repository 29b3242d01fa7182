"""Idempotency keys survive the departure of the agent that owns their shards."""

import signal

KEYS = tuple(f"sheet-{number}" for number in range(20))
# The next shard map follows the departure of an agent only after such a delay of the log.
LOG_DELAY_S = 1.5


def send_all_keys(system, entry):
    """Send a non-idempotent request for each key and return the responses by key."""
    return {key: system.request(entry, key=key, kind="print", idempotent=False) for key in KEYS}


def test_keys_survive_the_departure_of_their_owner(small_system):
    first, second = small_system.entries
    small_system.wait_shards()
    before = send_all_keys(small_system, first)
    assert {response.status_code for response in before.values()} == {200}
    leaving = small_system.agents["worker-1"]
    leaving.send_signal(signal.SIGTERM)
    leaving.process.wait(timeout=20)
    after = send_all_keys(small_system, second)
    assert {response.status_code for response in after.values()} == {200}
    for key in KEYS:
        assert after[key].json()["worker"] == before[key].json()["worker"]
        assert small_system.executions(key) == 1


def test_keys_of_an_agent_that_has_left_wait_for_the_next_shard_map(small_system):
    first, second = small_system.entries
    small_system.wait_shards()
    before = send_all_keys(small_system, first)
    assert {response.status_code for response in before.values()} == {200}
    small_system.set_log_faults(slow_s=LOG_DELAY_S)
    leaving = small_system.agents["worker-1"]
    leaving.send_signal(signal.SIGTERM)
    leaving.process.wait(timeout=20)
    after = send_all_keys(small_system, second)
    assert {response.status_code for response in after.values()} == {200}
    for key in KEYS:
        assert after[key].json()["worker"] == before[key].json()["worker"]
        assert small_system.executions(key) == 1
