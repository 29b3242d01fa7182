"""Entries and agents around the real claim classes, for the outage experiment."""

import collections
import random

import anyio
import attrs

from papayaspar_dispatch import attempts, claim_tables, claims, shard_chains, shard_records, shards
from papayaspar_model import clock, errors, workers
from papayaspar_platform import followers, logs

TEAM = "photo"
SLOTS = 8
ONE_WAY_S = 0.0005
LOG_TIMEOUT_S = 2.0
UPKEEP_INTERVAL_S = 1.0
PENDING_POLL_S = 0.05
ANSWER = b"printed"


@attrs.frozen
class Call:
    """What a caller wants.

    :param key: names it, also when it is sent again.
    :param idempotent: whether running it twice does no harm.
    :param at_s: when it comes.
    :param service_s: its time on a slot.
    :param deadline_s: when the caller gives up.
    """

    key: str
    idempotent: bool
    at_s: float
    service_s: float
    deadline_s: float


@attrs.frozen
class Reply:
    """What an entry answers.

    :param is_done: whether it brings the result.
    :param ran: whether the work may have run, when it does not.
    """

    is_done: bool
    ran: errors.Ran


class ImpatientLog(logs.Log):
    """A client that gives up on a slow log.

    :param log: the log itself.
    """

    def __init__(self, log: logs.Log) -> None:
        self._log = log

    async def append(self, stream: str, records: tuple[bytes, ...]) -> int:
        """Append within the timeout."""
        with anyio.move_on_after(LOG_TIMEOUT_S):
            return await self._log.append(stream, records)
        raise errors.LogUnavailableError("too slow", ran=errors.Ran.UNKNOWN)

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> logs.Page:
        """Read within the timeout, above the wait."""
        with anyio.move_on_after(LOG_TIMEOUT_S + wait_s):
            return await self._log.read(stream, offset, wait_s)
        raise errors.LogUnavailableError("too slow")


class Process:
    """A process whose work in progress ends when it is killed."""

    def __init__(self) -> None:
        self.is_up = True
        self._scopes: dict[int, anyio.CancelScope] = {}

    def kill(self) -> None:
        """End it and all it does."""
        self.is_up = False
        for scope in self._scopes.values():
            scope.cancel()

    def enter(self) -> anyio.CancelScope:
        """Return the scope of one piece of work."""
        scope = anyio.CancelScope()
        self._scopes[id(scope)] = scope
        return scope

    def leave(self, scope: anyio.CancelScope) -> None:
        """End one piece of work."""
        self._scopes.pop(id(scope), None)


class Agent(Process):
    """One life of an agent, with its target and its claim table.

    :param worker: name of the worker.
    :param incarnation: life of the agent.
    :param executions: how often the targets began to run each key.
    """

    def __init__(
        self, worker: str, incarnation: int, executions: "collections.Counter[str]"
    ) -> None:
        super().__init__()
        self.identity = workers.WorkerIdentity(worker, incarnation, "r1", "dc1", "region1")
        self.table = claim_tables.ClaimTable(worker, incarnation, clock.LoopClock())
        self.busy = 0
        self._executions = executions

    async def run(self, call: Call) -> None:
        """Run a call on the target."""
        await anyio.sleep(ONE_WAY_S)
        if not self.is_up:
            raise errors.UnavailableError("connection refused")
        if self.busy >= SLOTS:
            raise errors.BusyError
        self._executions[call.key] += 1
        self.busy += 1
        scope = self.enter()
        try:
            with scope:
                await anyio.sleep(call.service_s + ONE_WAY_S)
                return
        finally:
            self.busy -= 1
            self.leave(scope)
        raise errors.PeerError("the agent died", ran=errors.Ran.UNKNOWN)


class Entry(Process):
    """One entry: follows the shard map, claims, sends and answers.

    :param name: its name.
    :param log: client of the log.
    :param agents: the agents by worker, as they are now.
    :param rng: source of its choices.
    """

    def __init__(
        self, name: str, log: logs.Log, agents: dict[str, Agent], rng: random.Random
    ) -> None:
        super().__init__()
        self._name = name
        self.chain = shard_chains.ShardChain()
        self._log = log
        self._agents = agents
        self._rng = rng
        self._follower = followers.Follower(log, shards.STREAM, rng=rng)
        self._serial = 0

    async def follow(self) -> None:
        """Follow the shard map until killed."""
        with self.enter():
            while True:
                batch = await self._follower.next_batch()
                if batch.lost_records:
                    first = self._follower.next_offset - len(batch.records)
                    self.chain.observe_gap(first)
                for record in batch.records:
                    self.chain.observe(record.offset, record.data)

    async def keep_up(self) -> None:
        """Pass the map on, and propose new owners for those that were replaced."""
        with self.enter():
            while True:
                await anyio.sleep(UPKEEP_INTERVAL_S)
                link = self.chain.link
                if link is None:
                    continue
                for agent in self._agents.values():
                    agent.table.adopt(link)
                await self._propose(link.shard_map)

    async def serve(self, call: Call) -> Reply | None:
        """Answer a call; nothing comes back when the entry dies meanwhile."""
        scope = self.enter()
        try:
            with scope:
                if call.idempotent:
                    return await self._send(call)
                return await self._serve_once(call)
        finally:
            self.leave(scope)
        return None

    async def _propose(self, head: shards.ShardMap) -> None:
        """Propose new owners, if any owner was replaced."""
        alive = [agent.identity for agent in self._agents.values() if agent.is_up]
        child = shards.reassign(head, shards.replacement_evidence(head, alive), alive, self._rng)
        if child is None:
            return
        try:
            await self._log.append(shards.STREAM, (shard_records.encode(child),))
        except errors.LogUnavailableError:
            return

    async def _serve_once(self, call: Call) -> Reply:
        """Run a call that is not idempotent, if its key can be claimed."""
        self._serial += 1
        wanted = claims.Claim(
            team=TEAM,
            key=call.key,
            digest=call.key,
            request_id=f"{self._name}-{self._serial}",
            remaining_s=call.deadline_s - anyio.current_time(),
            first_sent_s=call.at_s,
        )
        while True:
            answer = await self._claim(wanted)
            if answer.verdict is not claims.Verdict.PENDING:
                break
            await anyio.sleep(PENDING_POLL_S)
        if answer.verdict is claims.Verdict.GRANTED:
            return await self._run_claimed(call, wanted)
        if answer.verdict is claims.Verdict.SETTLED:
            return Reply(True, errors.Ran.YES)
        if answer.verdict is claims.Verdict.UNKNOWN:
            return Reply(False, errors.Ran.UNKNOWN)
        return Reply(False, errors.Ran.NO)

    async def _claim(self, wanted: claims.Claim) -> claims.ClaimAnswer:
        """Ask the owner of the key's shard."""
        link = self.chain.link
        if link is None:
            return claims.ClaimAnswer(claims.Verdict.FROZEN)
        await anyio.sleep(2 * ONE_WAY_S)
        owner = self._owner(wanted.key, link)
        if owner is None:
            return claims.ClaimAnswer(claims.Verdict.NOT_OWNER)
        return owner.table.claim(wanted, link.shard_map.revision)

    def _owner(self, key: str, link: shard_chains.ChainLink) -> Agent | None:
        """Return the agent that owns a key, if it runs."""
        named = link.shard_map.owner_of(TEAM, key)
        agent = self._agents[named.worker]
        if not agent.is_up or agent.identity.incarnation != named.incarnation:
            return None
        return agent

    async def _run_claimed(self, call: Call, wanted: claims.Claim) -> Reply:
        """Run a call whose key was granted, and tell the owner how it ended."""
        reply = await self._send(call)
        await anyio.sleep(2 * ONE_WAY_S)
        link = self.chain.link
        owner = self._owner(wanted.key, link) if link is not None else None
        if owner is None:
            return reply
        if reply.is_done:
            owner.table.settle(wanted, ANSWER)
        elif reply.ran is errors.Ran.NO:
            owner.table.release(wanted)
        else:
            owner.table.settle(wanted, None)
        return reply

    async def _send(self, call: Call) -> Reply:
        """Send a call to workers, again where that is allowed."""
        tries = attempts.Attempts(call.idempotent, call.deadline_s)
        while tries.may_send(anyio.current_time()):
            agent = self._choose(tries.excluded)
            if agent is None:
                break
            attempt = tries.begin(agent.identity.worker, anyio.current_time())
            try:
                await agent.run(call)
            except errors.PapayasparError as error:
                tries.fail(attempt, error.ran)
                continue
            tries.succeed(attempt)
            return Reply(True, errors.Ran.YES)
        return Reply(False, tries.ran)

    def _choose(self, excluded: frozenset[str]) -> Agent | None:
        """Return the least busy agent, among equals any."""
        usable = [agent for name, agent in self._agents.items() if name not in excluded]
        self._rng.shuffle(usable)
        return min(usable, key=lambda agent: agent.busy, default=None)
