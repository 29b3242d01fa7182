"""Messages between processes of this version and of the one without start leases."""

import attrs

from papayaspar_jobs import specs
from papayaspar_runs import messages, workers
from papayaspar_wire import codecs

HEARTBEAT = workers.Heartbeat(
    "w-1",
    "pool",
    workers.Condition.READY,
    specs.Resources(1000, 1000, 8),
    (),
    "",
    1,
    1_000,
    data_centre="dc-a",
)


def _read_without(message, *path):
    """Return a message as it is read if its sender does not know one of its fields."""
    codec = messages.codec()
    unpacker = codec.unpacker()
    unpacker.feed(codec.pack(codecs.Frame(codecs.FrameKind.CALL, 1, 0, message)))
    kind, call_id, stamp, name, values = next(iter(unpacker))
    fields = values
    for field in path[:-1]:
        fields = fields[field]
    del fields[path[-1]]
    return codec.structure([kind, call_id, stamp, name, values]).message


def test_messages_of_the_former_version_are_read():
    assert _read_without(messages.Vouched(900), "start_lease_ms") == messages.Vouched(None)
    assert _read_without(messages.Vouch("n", "dc-a"), "data_centre") == messages.Vouch("n", "")
    state = messages.AgentState("n", HEARTBEAT)
    assert _read_without(state, "heartbeat", "data_centre").heartbeat.data_centre == ""
    assert _read_without(state, "heartbeat", "cold_remaining_ms").heartbeat == HEARTBEAT


def test_unknown_fields_of_a_later_version_are_left_out():
    fields = ["c", 1, 0, "Vouch", {"node": "n", "data_centre": "dc-a", "later": 1}]
    assert messages.codec().structure(fields).message == messages.Vouch("n", "dc-a")


def test_worker_that_becomes_cold_or_warm_is_reported():
    cold = attrs.evolve(HEARTBEAT, sequence=2, cold_remaining_ms=4000)
    warmer = attrs.evolve(cold, sequence=3, cold_remaining_ms=3000)
    assert HEARTBEAT.has_changes(cold)
    assert not cold.has_changes(warmer)
    assert warmer.has_changes(attrs.evolve(HEARTBEAT, sequence=4))
