"""Tests of deduplication by key: the outcome stored for a request that is cancelled."""

import asyncio

import pytest

from papayaspar_dispatch import calls, claim_tables, shard_chains, shards
from papayaspar_entry import answers, deduplication
from papayaspar_membership import members
from papayaspar_model import clock, errors, signals, work, workers

OWNER = workers.WorkerIdentity("w1", 1, "rack-1", "dc-1", "region-1")


class FakeOwner:
    """Agent that owns every shard, and the entry's stream to it."""

    def __init__(self):
        self.changes = signals.ChangeSignal()
        self.link = shard_chains.ChainLink(shards.create_initial_map([OWNER]), 1)
        self.table = claim_tables.ClaimTable("w1", 1, clock.BootClock())
        self.table.adopt(self.link)

    def peer(self, worker):
        """Return the stream to the owner."""
        return self

    async def call(self, message, timeout_s):
        """Answer a call the way an agent does."""
        if isinstance(message, calls.ClaimKey):
            return self.table.claim(message.claim, message.map_revision)
        if isinstance(message, calls.SettleClaim):
            return calls.ClaimNoted(self.table.settle(message.claim, message.answer))
        return calls.ClaimNoted(self.table.release(message.claim))


@pytest.fixture
def owner():
    return FakeOwner()


@pytest.fixture
def deduplicator(owner):
    return deduplication.Deduplicator(members.MemberTable(), owner, owner, clock.BootClock())


def make_request(request_id):
    """Return a non-idempotent request with the key ``k1``."""
    deadline_s = clock.BootClock().now_s() + 5.0
    return work.Request(
        request_id, "booths", "", "print", work.Urgency.URGENT, False, deadline_s, b"{}", "k1"
    )


async def cancel_while_running(deduplicator, is_sent):
    """Run a request and cancel its asyncio task, as the HTTP server does at shutdown."""

    async def execute(request, progress):
        progress.is_sent = is_sent
        await asyncio.sleep(60)

    task = asyncio.create_task(deduplicator.run(make_request("req-1"), "k1", execute))
    await asyncio.sleep(0.05)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def run_with_same_key(deduplicator):
    """Run another request with the same key and return its answer."""

    async def execute(request, progress):
        return answers.Answer(request.request_id, "w2", 1, 200, b"{}")

    return await deduplicator.run(make_request("req-2"), "k1", execute)


def test_request_cancelled_after_sending_is_not_run_again(deduplicator):
    async def main():
        await cancel_while_running(deduplicator, is_sent=True)
        with pytest.raises(errors.OutcomeUnknownError):
            await run_with_same_key(deduplicator)

    asyncio.run(main())


def test_request_cancelled_before_sending_can_run_again(deduplicator):
    async def main():
        await cancel_while_running(deduplicator, is_sent=False)
        assert (await run_with_same_key(deduplicator)).worker == "w2"

    asyncio.run(main())
