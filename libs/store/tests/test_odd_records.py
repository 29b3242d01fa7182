"""Records of another writer: every field with values of other types, sizes and depths."""

import msgpack
import pytest

from papayaspar_jobs import configurations, registries, rooms, specs, tasks
from papayaspar_model import clock
from papayaspar_store import failures, records, stores, views

JOB_ID = "0" * 16
INCARNATION = tasks.Incarnation("w-1", 17)
SPEC = specs.JobSpec(
    JOB_ID,
    "queue",
    "team",
    "text",
    (specs.Step(2, specs.Resources(1, 2, 3), 100), specs.Step(1, after=(0,))),
    specs.Schedule(2, 1000, 500),
)
QUEUE = configurations.Queue("queue", "host", "/queue/", "pool", 3000)
RECORDS = {
    records.JOB_PREFIX + JOB_ID: records.JobRecord(SPEC, QUEUE, 1000, "entry-1"),
    records.STATE_PREFIX + JOB_ID: records.StateRecord(registries.JobPhase.RUNNING),
    records.AGENT_PREFIX + "node-1": records.AgentRecord(
        "node-1",
        "10.0.0.1:7000",
        "boot-1",
        records.Departure(INCARNATION, (records.DoneRun(tasks.TaskKey(JOB_ID, 0, 0, 0), 1),)),
    ),
    records.LEAD_KEY: records.LeadRecord(
        1024, "entry-1", "boot-1", attached=("node-1",), former_lease_ms=1
    ),
    records.ROOM_KEY: records.RoomRecord(
        1024,
        (
            rooms.PoolRoom(
                "pool",
                True,
                (rooms.WorkerKind(specs.Resources(1, 2, 3), ("label",), 2),),
                ("r1-0",),
                True,
                (rooms.ExpectedWait(1, 2, 3),),
            ),
        ),
    ),
}
# Replaced by deeply nested lists in the encoded record, since the encoder refuses such values.
DEEP_MARK = "@deep@"
DEEP_BYTES = b"\x91" * 100_000 + b"\xc0"
ODD_VALUES = {
    "none": None,
    "nested": DEEP_MARK,
    "largest-integer": 2**64 - 1,
    "negative": -(2**63),
    "large-float": 1e300,
    "infinity": float("inf"),
    "not-a-number": float("nan"),
    "text": "x" * 300,
    "port-out-of-range": "10.0.0.1:99999",
    "bytes": b"\xff\xfe",
    "list": [1, [2]],
    "map": {"a": {"b": 1}},
}


def _paths(value, path=()):
    """Return the path of each field and element of a decoded record."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for name, element in items:
        yield (*path, name)
        if isinstance(element, dict | list):
            yield from _paths(element, (*path, name))


def _replaced(value, path, odd_value):
    """Return a copy of a decoded record with another value at a path."""
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = odd_value if len(path) == 1 else _replaced(copy[path[0]], path[1:], odd_value)
    return copy


def _cases():
    for key, record in RECORDS.items():
        decoded = msgpack.unpackb(records.encode(key, record).value)
        for path in _paths(decoded):
            yield pytest.param(key, decoded, path, id=".".join(map(str, (key, *path))))


@pytest.fixture
def view():
    return views.SharedView(clock.BootClock())


# Guards against readers of a list that end, or stop following it, at one odd entry.
@pytest.mark.parametrize("odd_name", ODD_VALUES)
@pytest.mark.parametrize(("key", "decoded", "path"), list(_cases()))
def test_record_with_an_odd_field_is_refused_or_stays_encodable(view, key, decoded, path, odd_name):
    value = msgpack.packb(_replaced(decoded, path, ODD_VALUES[odd_name]))
    value = value.replace(msgpack.packb(DEEP_MARK), DEEP_BYTES)
    try:
        view.apply(stores.KeyedRecord(key, value, 1))
    except failures.RecordError:
        pass
    for job in view.jobs:
        records.encode(key, records.JobRecord(job.spec, job.queue, job.accepted_ms, "entry-1"))
    for agent in view.agents.values():
        records.encode(key, agent)
    for room in view.room.pools if view.room is not None else ():
        rooms.find_impossible(SPEC, room)
        rooms.expected_wait_s(SPEC, room, 0)
    for valid_key, valid_record in RECORDS.items():
        view.apply(records.encode(valid_key, valid_record))
    assert view.jobs.find(JOB_ID) is not None
    assert view.agents["node-1"].address == "10.0.0.1:7000"


@pytest.mark.parametrize("value", [DEEP_BYTES, b"\xc1", b"\x81\x90\x01", b"\xcb", b"\x93"])
@pytest.mark.parametrize("key", [*RECORDS, "unknown/key", ""])
def test_value_that_is_no_record_is_refused(view, key, value):
    with pytest.raises(failures.RecordError):
        view.apply(stores.KeyedRecord(key, value, 1))
