"""Appends of the lead's writer: their size, order and completion, and refused records."""

import anyio
import pytest

from papayaspar_events import journal, metrics
from papayaspar_model import causality, clock
from papayaspar_standin import keyed_stores
from papayaspar_store import stores, writing

pytestmark = pytest.mark.anyio

PARTITION = stores.Partition("keyed.topic", 1)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def log() -> keyed_stores.KeyedLog:
    """Return the contents of a store that accepts 2 MiB at a time."""
    return keyed_stores.KeyedLog()


@pytest.fixture
def store(log) -> keyed_stores.MemoryStore:
    """Return a client of the store."""
    return keyed_stores.MemoryStore(log)


@pytest.fixture
async def make_writer(store):
    """Return a function that starts a writer; it ends with the test."""
    clock_source = clock.BootClock()
    events = journal.Journal("node", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    async with anyio.create_task_group() as group:

        async def make(append_bytes_max=writing.APPEND_BYTES_MAX, **options):
            writer = writing.EpochWriter(
                store, PARTITION, "lead", 1, clock_source, events, append_bytes_max, **options
            )
            await writer.open()
            group.start_soon(writer.run)
            return writer

        yield make
        group.cancel_scope.cancel()


def _records(count, size_bytes=100):
    return [stores.KeyedRecord(f"key-{number}", b"x" * size_bytes) for number in range(count)]


async def test_large_group_is_stored_in_appends_that_the_store_accepts(log, store, make_writer):
    """A round or a deletion with tens of thousands of records was one append of any size."""
    writer = await make_writer()
    appends = store.append_count
    with anyio.fail_after(20.0):
        await writer.write(*_records(30_000))
    assert [record.key for record in log.partition(PARTITION).records] == [
        record.key for record in _records(30_000)
    ]
    assert store.append_count - appends > 30_000 * 100 / writing.APPEND_BYTES_MAX


async def test_appends_stay_below_the_limit_of_the_store(log, make_writer):
    log.append_bytes_max = 1_000
    writer = await make_writer(append_bytes_max=1_000)
    with anyio.fail_after(5.0):
        await writer.write(*_records(50))
    assert len(log.partition(PARTITION).records) == 50


async def test_group_is_stored_only_with_its_last_record(log, store, make_writer):
    writer = await make_writer(append_bytes_max=300)
    store.responses_to_lose[PARTITION] = 1
    first = writer.enqueue(*_records(4))
    last = writer.enqueue()
    with anyio.fail_after(5.0):
        await last.wait()
    assert first.is_set()
    assert len(log.partition(PARTITION).records) == 4


async def test_small_groups_share_an_append(store, make_writer):
    writer = await make_writer()
    appends = store.append_count
    for record in _records(20):
        writer.enqueue(record)
    with anyio.fail_after(5.0):
        await writer.write()
    assert store.append_count == appends + 1


async def test_refused_record_is_left_out_and_named(log, make_writer):
    """An append that the store never accepts was repeated for ever."""
    writer = await make_writer()
    large = stores.KeyedRecord("large", b"x" * 300_000)
    with anyio.fail_after(5.0):
        await writer.write(*_records(5), large, stores.KeyedRecord("last", b"x"))
    keys = [record.key for record in log.partition(PARTITION).records]
    assert keys == [*(f"key-{number}" for number in range(5)), "last"]
    assert writer.is_refused("large")
    assert not writer.is_refused("last")
    await writer.write(stores.KeyedRecord("large", b"x"))
    assert not writer.is_refused("large")


# Guards against a lead that counts a repeated answer as a new confirmation: the append was stored
# earlier, and its readers count from then.
async def test_repeated_append_confirms_the_epoch_as_of_its_first_attempt(store, make_writer):
    writer = await make_writer()
    store.responses_to_lose[PARTITION] = 1
    started_s = clock.BootClock().now_s()
    with anyio.fail_after(5.0):
        await writer.write(*_records(1))
    assert store.append_count == 3
    assert writer.confirmed_s - started_s < writing.APPEND_TIMEOUT_MIN_S
    assert writer.confirmed_s >= started_s


# Guards against a lead that confirms its leadership for longer than others count on: they see only
# the appends that hold its own record.
async def test_only_the_record_that_others_read_confirms_the_epoch(make_writer):
    writer = await make_writer(confirming_key="key-1")
    opened_s = writer.confirmed_s
    with anyio.fail_after(5.0):
        await writer.write(stores.KeyedRecord("other", b"x"))
        assert writer.confirmed_s == opened_s
        await writer.write(*_records(2))
    assert writer.confirmed_s > opened_s
