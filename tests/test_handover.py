"""Keys of non-idempotent requests when the agent that remembers them leaves."""

import signal

KEYS = tuple(f"sheet-{number}" for number in range(20))


def print_all(system, entry):
    """Send a print for each key and return the responses by key."""
    return {key: system.request(entry, key=key, kind="print", idempotent=False) for key in KEYS}


def test_keys_are_remembered_after_their_owner_left(small_system):
    first, second = small_system.entries
    small_system.wait_shards()
    before = print_all(small_system, first)
    assert {response.status_code for response in before.values()} == {200}
    leaving = small_system.agents["worker-1"]
    leaving.send(signal.SIGTERM)
    leaving.process.wait(timeout=20)
    after = print_all(small_system, second)
    assert {response.status_code for response in after.values()} == {200}
    for key in KEYS:
        assert after[key].json()["worker"] == before[key].json()["worker"]
        assert small_system.executions(key) == 1
