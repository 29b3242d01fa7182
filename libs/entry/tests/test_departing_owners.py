"""Claims of keys whose owner has left, between the loss of its stream and the next shard map."""

import anyio
import attrs
import pytest

from papayaspar_dispatch import calls, claim_tables, claims, shard_chains, shards
from papayaspar_entry import answers, deduplication
from papayaspar_membership import members
from papayaspar_model import clock, errors, signals, work, workers

OLD = workers.WorkerIdentity("w1", 1, "rack-1", "dc-1", "region-1")
NEW = workers.WorkerIdentity("w2", 1, "rack-1", "dc-1", "region-1")
DEADLINE_S = 10.0
# A request that waits without end fails its test after this time.
HANG_TIMEOUT_S = 10.0
LONG_AGO_S = 60.0


@attrs.define
class FakeAgent:
    """An agent and the entry's stream to it.

    :param table: claims of the agent.
    :param is_open: whether the stream is open.
    :param loses_replies: whether the stream breaks before the reply to a claim.
    """

    table: claim_tables.ClaimTable
    is_open: bool = True
    loses_replies: bool = False

    async def call(self, message, timeout_s):
        """Answer a call the way an agent does."""
        if isinstance(message, calls.ClaimKey):
            answer = self.table.claim(message.claim, message.map_revision)
            if self.loses_replies:
                self.is_open = False
                raise errors.PeerError("the stream was lost", ran=errors.Ran.UNKNOWN)
            return answer
        if isinstance(message, calls.SettleClaim):
            return calls.ClaimNoted(self.table.settle(message.claim, message.answer))
        return calls.ClaimNoted(self.table.release(message.claim))


class FakeFleet:
    """An entry's streams to two agents and its shard map, in which the first owns every shard."""

    def __init__(self):
        self.clock = clock.ManualClock(1000.0)
        self.changes = signals.ChangeSignal()
        self.link = shard_chains.ChainLink(shards.create_initial_map([OLD]), 1)
        self.agents = {}
        self.members = members.MemberTable()
        for identity in (OLD, NEW):
            table = claim_tables.ClaimTable(identity.worker, 1, self.clock)
            table.adopt(self.link)
            self.agents[identity.worker] = FakeAgent(table)
            self.report(identity, draining=False)
        self.old, self.new = self.agents["w1"], self.agents["w2"]
        self.exports = ()
        self.executions = 0
        self.deduplicator = deduplication.Deduplicator(self.members, self, self, self.clock)

    def report(self, identity, draining):
        """Apply a report of an agent to the table of workers."""
        report = workers.WorkerReport(identity, workers.Capacity(slots=1), 1, 0, draining)
        self.members.observe(report)

    def peer(self, worker):
        """Return the open stream to a worker's agent."""
        if not self.agents[worker].is_open:
            raise errors.PeerError(f"no stream to {worker} is open")
        return self.agents[worker]

    def drain_and_hand_over(self):
        """Let the owner drain and hand over its shards; the next map is not delivered yet."""
        self.report(OLD, draining=True)
        self.exports = self.old.table.hand_over()

    def close_stream(self, disconnected_s=0.0):
        """Close the stream to the owner, which was noticed some time ago."""
        self.old.is_open = False
        self.members.mark_disconnected(OLD, self.clock.now_s() - disconnected_s)

    def deliver_map(self):
        """Deliver the next map to the entry and to the new owner."""
        through_epoch = self.link.shard_map.revision
        evidence = shards.Evidence(
            shards.EvidenceKind.SURRENDERED,
            OLD.worker,
            OLD.incarnation,
            shards=tuple(export.shard for export in self.exports),
            through_epoch=through_epoch,
        )
        shard_map = shards.reassign(self.link.shard_map, (evidence,), [NEW])
        self.link = shard_chains.ChainLink(shard_map, 2)
        self.new.table.adopt(self.link)
        self.changes.notify()

    def deliver_claims(self):
        """Deliver the claims of the former owner to the new owner."""
        for export in self.exports:
            assert self.new.table.take_over(export)

    async def run(self, request_id):
        """Run a request with the key ``k1`` and return its answer."""
        deadline_s = self.clock.now_s() + DEADLINE_S
        request = work.Request(
            request_id, "albums", "", "print", work.Urgency.URGENT, False, deadline_s, b"{}", "k1"
        )
        with anyio.fail_after(HANG_TIMEOUT_S):
            return await self.deduplicator.run(request, "k1", self._execute)

    async def _execute(self, request, progress):
        self.executions += 1
        return answers.Answer(request.request_id, "w3", 1, 200, request.request_id.encode())


@pytest.fixture
def fleet():
    return FakeFleet()


async def run_during_handover(fleet, complete_handover):
    """Start a request, complete the handover once it waits, and return its answer."""
    results = []

    async def run():
        results.append(await fleet.run("req-2"))

    async with anyio.create_task_group() as group:
        group.start_soon(run)
        await anyio.wait_all_tasks_blocked()
        assert not results
        await complete_handover()
    return results[0]


def test_key_of_an_owner_that_has_left_waits_for_the_next_map(fleet):
    async def complete_handover():
        fleet.deliver_map()
        fleet.deliver_claims()

    async def main():
        await fleet.run("req-1")
        fleet.drain_and_hand_over()
        fleet.close_stream()
        return await run_during_handover(fleet, complete_handover)

    assert anyio.run(main).body == b"req-1"
    assert fleet.executions == 1


def test_unseen_key_of_an_owner_that_has_left_runs_once_at_the_new_owner(fleet):
    async def complete_handover():
        fleet.deliver_map()
        fleet.deliver_claims()

    async def main():
        fleet.drain_and_hand_over()
        fleet.close_stream()
        answer = await run_during_handover(fleet, complete_handover)
        again = await fleet.run("req-3")
        return answer.body, again.body

    assert anyio.run(main) == (b"req-2", b"req-2")
    assert fleet.executions == 1


def test_claim_whose_grant_was_lost_with_the_stream_runs_once_at_the_new_owner(fleet):
    async def complete_handover():
        fleet.close_stream()
        fleet.exports = fleet.old.table.hand_over()
        fleet.deliver_map()
        fleet.deliver_claims()

    async def main():
        fleet.report(OLD, draining=True)
        fleet.old.loses_replies = True
        answer = await run_during_handover(fleet, complete_handover)
        again = await fleet.run("req-3")
        return answer.body, again.body

    assert anyio.run(main) == (b"req-2", b"req-2")
    assert fleet.executions == 1


def test_time_for_the_claims_to_arrive_counts_from_the_map_that_names_the_new_owner(fleet):
    async def complete_handover():
        fleet.clock.advance(2 * deduplication.UNKNOWN_TIMEOUT_S)
        fleet.deliver_map()
        await _wait_verdict(fleet.new.table, claims.Verdict.UNKNOWN)
        fleet.deliver_claims()

    async def main():
        await fleet.run("req-1")
        fleet.drain_and_hand_over()
        fleet.close_stream()
        return await run_during_handover(fleet, complete_handover)

    assert anyio.run(main).body == b"req-1"
    assert fleet.executions == 1


def test_request_without_a_next_map_ends_at_its_deadline(fleet):
    async def pass_deadline():
        await anyio.wait_all_tasks_blocked()
        fleet.clock.advance(DEADLINE_S)

    async def main():
        fleet.drain_and_hand_over()
        # The agent drains on, and its stream is interrupted.
        fleet.old.is_open = False
        async with anyio.create_task_group() as group:
            group.start_soon(pass_deadline)
            with pytest.raises(errors.DeadlineError) as raised:
                await fleet.run("req-1")
        return raised.value.ran

    assert anyio.run(main) is errors.Ran.UNKNOWN
    assert fleet.executions == 0


def test_key_of_an_owner_that_left_long_ago_is_refused_at_once(fleet):
    async def main():
        fleet.drain_and_hand_over()
        fleet.close_stream(disconnected_s=LONG_AGO_S)
        with pytest.raises(errors.UnavailableError) as raised:
            await fleet.run("req-1")
        return raised.value.ran

    assert anyio.run(main) is errors.Ran.UNKNOWN
    assert fleet.executions == 0


def test_key_of_an_owner_that_did_not_drain_is_refused_at_once(fleet):
    async def main():
        fleet.close_stream()
        with pytest.raises(errors.UnavailableError) as raised:
            await fleet.run("req-1")
        return raised.value.ran

    assert anyio.run(main) is errors.Ran.UNKNOWN
    assert fleet.executions == 0


def test_key_of_an_owner_whose_next_incarnation_drained_is_refused_at_once(fleet):
    async def main():
        fleet.close_stream()
        fleet.report(attrs.evolve(OLD, incarnation=2), draining=True)
        with pytest.raises(errors.UnavailableError) as raised:
            await fleet.run("req-1")
        return raised.value.ran

    assert anyio.run(main) is errors.Ran.UNKNOWN
    assert fleet.executions == 0


async def _wait_verdict(table, verdict):
    """Wait until an agent has answered a claim with a verdict."""
    while not table.verdicts[verdict]:
        await anyio.sleep(0.01)
