"""Tests of the stream follower on the in-memory log: outages, lost records, recreated streams."""

import random

import anyio
import pytest
import trio
import trio.testing

from papayaspar_platform import followers
from papayaspar_standin import memory_logs


@pytest.fixture
def log():
    return memory_logs.MemoryLog()


@pytest.fixture
def follower(log):
    return followers.Follower(log, "rules", rng=random.Random(3))


@pytest.fixture
def run():
    """Return a function that runs a coroutine function in virtual time."""

    def runner(scenario):
        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0.0))

    return runner


def test_follower_catches_up_and_then_waits(log, follower, run):
    async def scenario():
        await log.append("rules", (b"a", b"b"))
        batch = await follower.next_batch()
        assert [record.data for record in batch.records] == [b"a", b"b"]
        assert not follower.is_caught_up
        assert (await follower.next_batch()).records == ()
        assert follower.is_caught_up
        async with anyio.create_task_group() as group:
            group.start_soon(log.append, "rules", (b"c",))
            batch = await follower.next_batch()
        assert [record.offset for record in batch.records] == [2]

    run(scenario)


def test_follower_reconnects_after_an_outage_within_the_maximum_backoff(log, follower, run):
    async def scenario():
        log.faults.down = True
        async with anyio.create_task_group() as group:
            group.start_soon(follower.next_batch)
            await anyio.sleep(600.0)
            assert not follower.is_reachable
            log.faults.down = False
            await anyio.sleep(followers.BACKOFF_MAX_S)
            assert follower.is_reachable

    run(scenario)


def test_follower_counts_trimmed_records(log, follower, run):
    async def scenario():
        await log.append("rules", (b"a", b"b", b"c"))
        log.trim("rules", 2)
        batch = await follower.next_batch()
        assert batch.lost_records == 2
        assert [record.data for record in batch.records] == [b"c"]

    run(scenario)


def test_follower_detects_a_recreated_stream(log, run):
    async def scenario():
        await log.append("rules", (b"a",))
        follower = followers.Follower(log, "rules", offset=7)
        assert (await follower.next_batch()).restarted
        assert [record.data for record in (await follower.next_batch()).records] == [b"a"]

    run(scenario)


def test_records_older_than_the_retention_time_are_dropped(run):
    async def scenario():
        log = memory_logs.MemoryLog(retention_s=60.0)
        await log.append("rules", (b"a",))
        await anyio.sleep(61.0)
        await log.append("rules", (b"b",))
        page = await log.read("rules", 0)
        assert (page.first_offset, [record.data for record in page.records]) == (1, [b"b"])

    run(scenario)
