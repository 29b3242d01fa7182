"""Handovers of shards by an entry, beside lost answers and killed entries and owners."""

import contextlib
import random

import anyio
import attrs
import pytest
import trio
import trio.testing

from papayaspar_dispatch import calls, claim_tables, claims, shard_chains, shards
from papayaspar_entry import shard_handovers
from papayaspar_membership import members
from papayaspar_model import clock, errors, signals, workers

SHARD_COUNT = 4
KEYS = tuple(f"print-{number}" for number in range(12))
ANSWER = b"printed"
POLL_INTERVAL_S = 0.05
# Time in which an entry would send a handover many times.
LATER_S = 60.0


def make_identity(worker, incarnation=1):
    return workers.WorkerIdentity(worker, incarnation, "rack-1", "dc-1", "region-1")


def make_claim(key, request_id="req-1"):
    return claims.Claim("photo", key, "d1", request_id, 300.0)


@attrs.define
class FakeAgent:
    """An agent and the entry's stream to it.

    :param identity: identity of the worker.
    :param table: claims of the agent.
    :param lost_answers: number of further answers that are lost after the call was handled.
    :param is_silent: whether a lost answer never arrives; otherwise the stream is reset.
    :param received: handovers that it received, by shard.
    """

    identity: workers.WorkerIdentity
    table: claim_tables.ClaimTable
    lost_answers: int = 0
    is_silent: bool = False
    received: list = attrs.field(factory=list)

    async def call(self, message, timeout_s):
        """Handle a call, and answer it unless the answer is lost."""
        if isinstance(message, calls.SurrenderShards):
            answer = calls.ShardsSurrendered(
                self.identity.worker, self.identity.incarnation, self.table.hand_over()
            )
        else:
            self.received.append(message.export.shard)
            answer = calls.ClaimNoted(self.table.take_over(message.export))
        await trio.sleep(POLL_INTERVAL_S)
        if not self.lost_answers:
            return answer
        self.lost_answers -= 1
        if self.is_silent:
            await trio.sleep(timeout_s)
        raise errors.PeerError("the answer was lost", ran=errors.Ran.UNKNOWN)


class FakeFleet:
    """An entry's streams to its agents, and its shard map; the first agent owns all shards.

    It stands for the sessions and for the manager of the shard map.
    """

    def __init__(self):
        self.clock = clock.LoopClock()
        self.changes = signals.ChangeSignal()
        self.may_propose = True
        self.members = members.MemberTable()
        self.agents = {}
        self.evidence = []
        initial_map = shards.create_initial_map([make_identity("w1")], shards=SHARD_COUNT)
        self.link = shard_chains.ChainLink(initial_map, 1)
        old = self.add("w1")
        for key in KEYS:
            old.table.claim(make_claim(key), 1)
        for key in KEYS[::2]:
            old.table.settle(make_claim(key), ANSWER)
        self.usage = usage_of(old.table)

    def add(self, worker, incarnation=1):
        """Add an agent in which exactly the keys of the first owner fit."""
        identity = make_identity(worker, incarnation)
        limits = claims.ClaimLimits()
        if self.agents:
            limits = claims.ClaimLimits(*self.usage)
        table = claim_tables.ClaimTable(worker, incarnation, self.clock, limits)
        table.adopt(self.link)
        self.agents[worker] = FakeAgent(identity, table)
        self.report(worker)
        return self.agents[worker]

    def report(self, worker, draining=False):
        """Apply a report of an agent to the table of workers."""
        identity = self.agents[worker].identity
        self.members.observe(
            workers.WorkerReport(identity, workers.Capacity(), 1, 0, draining=draining)
        )

    def peer(self, worker):
        """Return the stream to a worker's agent."""
        if worker not in self.agents:
            raise errors.PeerError(f"no stream to {worker} is open")
        return self.agents[worker]

    def kill(self, worker):
        """Kill an agent."""
        self.members.mark_disconnected(self.agents.pop(worker).identity, self.clock.now_s())

    def record_handover(self, message):
        """Keep the evidence of a handover."""
        self.evidence.append(
            shards.Evidence(
                shards.EvidenceKind.SURRENDERED,
                message.worker,
                message.incarnation,
                shards=tuple(export.shard for export in message.exports),
                through_epoch=max(export.epoch for export in message.exports),
            )
        )

    def replace_owner(self, worker):
        """Put the next map in force, in which a worker owns the shards of former owners."""
        head = self.link.shard_map
        identities = [agent.identity for agent in self.agents.values()]
        evidence = (*self.evidence, *shards.replacement_evidence(head, identities))
        candidates = [self.agents[worker].identity]
        next_map = shards.reassign(head, evidence, candidates, random.Random(1))
        self.link = shard_chains.ChainLink(next_map, next_map.revision)
        for agent in self.agents.values():
            agent.table.adopt(self.link)
        self.changes.notify()


def usage_of(table):
    """Return the memory usage of a table."""
    return (table.usage.claims, table.usage.claim_bytes, table.usage.answer_bytes)


def check_keys(fleet, worker):
    """Check that each key counts once at its owner, with the state that it had before."""
    table = fleet.agents[worker].table
    assert usage_of(table) == fleet.usage
    for index, key in enumerate(KEYS):
        repeated = table.claim(make_claim(key, "req-2"), fleet.link.shard_map.revision)
        if index % 2:
            assert repeated.verdict is claims.Verdict.PENDING
            continue
        assert (repeated.verdict, repeated.answer) == (claims.Verdict.SETTLED, ANSWER)


async def wait_until(condition):
    """Wait until a condition holds."""
    with anyio.fail_after(LATER_S):
        while not condition():
            await trio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def running_entry(fleet):
    """Run the handovers of a new entry during a block, and kill the entry after it."""
    handovers = shard_handovers.ShardHandovers(fleet.members, fleet, fleet)
    async with anyio.create_task_group() as group:
        group.start_soon(handovers.run)
        yield
        group.cancel_scope.cancel()


@pytest.fixture
def run_fleet():
    """Return a function that runs a scenario in virtual time."""

    def run(scenario):
        async def main():
            await scenario(FakeFleet())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


# Guards against keys that count once for each handover: answers of the leaving agent and of the new
# owner are lost, in series, and the entry repeats its calls until they are answered.
@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("lost_answers", [1, 2, SHARD_COUNT + 1])
def test_keys_count_once_beside_lost_answers(run_fleet, is_silent, lost_answers):
    async def scenario(fleet):
        new = fleet.add("w2")
        for agent in fleet.agents.values():
            agent.lost_answers = lost_answers
            agent.is_silent = is_silent
        fleet.report("w1", draining=True)
        async with running_entry(fleet):
            await wait_until(lambda: fleet.evidence)
            fleet.replace_owner("w2")
            await wait_until(lambda: len(new.received) == SHARD_COUNT + lost_answers)
            await trio.sleep(LATER_S)
            # Each call was answered in the end, and none was sent after that.
            assert len(new.received) == SHARD_COUNT + lost_answers
            assert set(new.received) == set(range(SHARD_COUNT))
            check_keys(fleet, "w2")

    run_fleet(scenario)


# Guards against keys that count once for each entry: an entry is killed after it got the claims, a
# restarted one gets them from the leaving agent again, and the answers of the new owner are lost.
@pytest.mark.parametrize("kills", [1, 2])
def test_keys_count_once_if_their_sender_is_killed_before_the_next_map(run_fleet, kills):
    async def scenario(fleet):
        new = fleet.add("w2")
        new.lost_answers = SHARD_COUNT
        fleet.report("w1", draining=True)
        for kill in range(kills):
            async with running_entry(fleet):
                await wait_until(lambda kill=kill: len(fleet.evidence) == kill + 1)
        async with running_entry(fleet):
            await wait_until(lambda: len(fleet.evidence) == kills + 1)
            fleet.replace_owner("w2")
            await wait_until(lambda: len(new.received) == 2 * SHARD_COUNT)
            await trio.sleep(LATER_S)
            assert len(new.received) == 2 * SHARD_COUNT
            check_keys(fleet, "w2")

    run_fleet(scenario)


# Guards against keys that count once for each of two senders: both entries got the claims before
# the map; one is killed while it sends them, its answers lost, and the other one sends all of them.
@pytest.mark.parametrize("sent", range(1, SHARD_COUNT + 1))
def test_keys_count_once_if_one_of_two_senders_is_killed(run_fleet, sent):
    async def scenario(fleet):
        new = fleet.add("w2")
        new.lost_answers = 2 * SHARD_COUNT
        fleet.report("w1", draining=True)
        async with running_entry(fleet):
            await wait_until(lambda: fleet.evidence)
            async with running_entry(fleet):
                await wait_until(lambda: len(fleet.evidence) == 2)
                fleet.replace_owner("w2")
                await wait_until(lambda: len(new.received) >= sent)
            await wait_until(lambda: not new.lost_answers)
            await trio.sleep(LATER_S)
            check_keys(fleet, "w2")

    run_fleet(scenario)


# Guards against keys that are granted again, or count, after their only sender was killed between
# the next map and the handover: the new owner has no record of them.
def test_keys_of_a_killed_sender_are_not_granted_again(run_fleet):
    async def scenario(fleet):
        new = fleet.add("w2")
        fleet.report("w1", draining=True)
        async with running_entry(fleet):
            await wait_until(lambda: fleet.evidence)
        fleet.replace_owner("w2")
        async with running_entry(fleet):
            await trio.sleep(LATER_S)
        assert usage_of(new.table) == (0, 0, 0)
        for key in KEYS:
            answer = new.table.claim(make_claim(key, "req-2"), fleet.link.shard_map.revision)
            assert answer.verdict is claims.Verdict.UNKNOWN

    run_fleet(scenario)


# Guards against claims that an entry sends without end: their new owner is killed and restarted
# with the same name before it answered, and its restarted agent can never take them over.
@pytest.mark.parametrize("incarnation", [2, 3])
def test_a_handover_to_a_restarted_owner_ends(run_fleet, incarnation):
    async def scenario(fleet):
        fleet.add("w2").lost_answers = SHARD_COUNT
        fleet.report("w1", draining=True)
        async with running_entry(fleet):
            await wait_until(lambda: fleet.evidence)
            fleet.kill("w1")
            fleet.replace_owner("w2")
            for restarted in range(2, incarnation + 1):
                fleet.kill("w2")
                new = fleet.add("w2", restarted)
                fleet.replace_owner("w2")
            await trio.sleep(LATER_S)
            assert usage_of(new.table) == (0, 0, 0)
            # The restarted owner has refused each shard.
            assert len(new.received) <= SHARD_COUNT

    run_fleet(scenario)
