"""The follower: loading a partition again, and what a missing key then means."""

import anyio
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, specs
from papayaspar_model import causality, clock
from papayaspar_standin import keyed_stores
from papayaspar_store import following, records, stores, views

pytestmark = pytest.mark.anyio

JOB_ID = "0" * 16
QUEUE = configurations.Queue("queue", "host", "/queue/", "pool", 3000)
JOB = records.JobRecord(specs.JobSpec(JOB_ID, "queue", "team", "", (specs.Step(1),)), QUEUE, 1, "e")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def log() -> keyed_stores.KeyedLog:
    """Return the contents of a store."""
    return keyed_stores.KeyedLog()


@pytest.fixture
def store(log) -> keyed_stores.MemoryStore:
    """Return a client of the store."""
    return keyed_stores.MemoryStore(log)


@pytest.fixture
def view() -> views.SharedView:
    """Return an empty view."""
    return views.SharedView(clock.BootClock())


@pytest.fixture
def follower(store, view) -> following.Follower:
    """Return a follower that keeps the view up to date while it runs."""
    clock_source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    return following.Follower(store, records.SHARED_PARTITION, view, clock_source, events, 0.2)


def _append(log, *new_records):
    log.append(keyed_stores.Append(records.SHARED_PARTITION, new_records, None, None))


def _agent(address):
    record = records.AgentRecord("node-1", address, "boot-1")
    return records.encode(records.AGENT_PREFIX + "node-1", record)


async def _follow_until(follower, condition):
    """Run the follower until a condition holds."""
    async with anyio.create_task_group() as group:
        group.start_soon(follower.run)
        with anyio.fail_after(5.0):
            while not condition():
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()


# Guards against the address of an ended process in the view: a snapshot was read, and newer
# records were delivered before it was applied.
async def test_snapshot_does_not_replace_newer_records(log, store, view, follower, monkeypatch):
    _append(log, _agent("10.0.0.1:1"))
    await _follow_until(follower, lambda: "node-1" in view.agents)
    old_offset = follower.offset
    _append(log, _agent("10.0.0.1:2"))
    log.drop_history(records.SHARED_PARTITION)
    read_snapshot, is_read, is_answered = store.read_snapshot, anyio.Event(), anyio.Event()

    async def answer_late(partition):
        snapshot = await read_snapshot(partition)
        is_read.set()
        await is_answered.wait()
        return snapshot

    async with anyio.create_task_group() as group:
        monkeypatch.setattr(store, "read_snapshot", answer_late)
        group.start_soon(follower.run)
        await is_read.wait()
        monkeypatch.setattr(store, "read_snapshot", read_snapshot)
        _append(log, _agent("10.0.0.1:3"))
        await follower.catch_up()
        assert follower.offset > old_offset
        assert view.agents["node-1"].address == "10.0.0.1:3"
        is_answered.set()
        await anyio.sleep(0.05)
        assert view.agents["node-1"].address == "10.0.0.1:3"
        group.cancel_scope.cancel()


# Guards against jobs that were deleted while an entry was cut off, and that it starts anew as lead.
async def test_job_that_was_deleted_with_its_history_is_forgotten(log, view, follower):
    job_record = records.encode(records.JOB_PREFIX + JOB_ID, JOB)
    _append(log, job_record, _agent("10.0.0.1:1"))
    await _follow_until(follower, lambda: "node-1" in view.agents)
    assert view.jobs.find(JOB_ID) is not None
    _append(
        log,
        stores.KeyedRecord(job_record.key, b""),
        stores.KeyedRecord(records.AGENT_PREFIX + "node-1", b""),
    )
    log.drop_history(records.SHARED_PARTITION)
    end = follower.offset + 2
    await _follow_until(follower, lambda: follower.offset == end)
    assert view.jobs.find(JOB_ID) is None
    assert view.agents == {}


# Guards against an accepted job that counts as deleted, since it was accepted while the snapshot
# was read.
async def test_job_that_is_accepted_during_a_load_is_kept(log, store, view, follower, monkeypatch):
    await _follow_until(follower, lambda: follower.is_loaded)
    _append(log, _agent("10.0.0.1:1"))
    log.drop_history(records.SHARED_PARTITION)
    read_snapshot = store.read_snapshot

    async def accept_meanwhile(partition):
        snapshot = await read_snapshot(partition)
        view.jobs.accept(JOB.spec, JOB.queue, JOB.accepted_ms)
        return snapshot

    monkeypatch.setattr(store, "read_snapshot", accept_meanwhile)
    await _follow_until(follower, lambda: "node-1" in view.agents)
    assert view.jobs.find(JOB_ID) is not None


# Guards against a load that deletes a key which was stored again, and delivered, while the load was
# waiting for its snapshot.
async def test_load_does_not_delete_a_key_that_was_stored_again_meanwhile(
    log, store, view, follower, monkeypatch
):
    _append(log, _agent("10.0.0.1:1"))
    await _follow_until(follower, lambda: "node-1" in view.agents)
    _append(log, stores.KeyedRecord(records.AGENT_PREFIX + "node-1", b""))
    log.drop_history(records.SHARED_PARTITION)
    read_snapshot, is_read, is_answered = store.read_snapshot, anyio.Event(), anyio.Event()

    async def answer_late(partition):
        snapshot = await read_snapshot(partition)
        is_read.set()
        await is_answered.wait()
        return snapshot

    async with anyio.create_task_group() as group:
        monkeypatch.setattr(store, "read_snapshot", answer_late)
        group.start_soon(follower.run)
        await is_read.wait()
        monkeypatch.setattr(store, "read_snapshot", read_snapshot)
        _append(log, _agent("10.0.0.1:3"))
        await follower.catch_up()
        assert "node-1" in view.agents
        is_answered.set()
        await anyio.sleep(0.3)
        assert "node-1" in view.agents
        group.cancel_scope.cancel()
