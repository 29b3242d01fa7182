"""Simulated entries and agents for the outage experiment, with the real claim classes."""

import collections
import random

import anyio
import attrs

from papayaspar_dispatch import attempts, claim_tables, claims, shard_chains, shard_records, shards
from papayaspar_model import clock, errors, workers
from papayaspar_platform import followers, logs

TEAM = "photo"
SLOTS = 8
ONE_WAY_DELAY_S = 0.0005
LOG_TIMEOUT_S = 2.0
MAINTENANCE_INTERVAL_S = 1.0
PENDING_POLL_S = 0.05
ANSWER = b"printed"


@attrs.frozen
class Call:
    """A call of a caller.

    :param key: idempotency key, the same for every retry.
    :param idempotent: whether the call may run twice.
    :param at_s: time of the first attempt, in seconds.
    :param service_s: time that the call occupies a slot, in seconds.
    :param deadline_s: time at which the caller gives up, in seconds.
    """

    key: str
    idempotent: bool
    at_s: float
    service_s: float
    deadline_s: float


@attrs.frozen
class Reply:
    """The reply of an entry.

    :param is_done: whether the reply has the result.
    :param ran: whether the work ran or may have run.
    """

    is_done: bool
    ran: errors.Ran


class TimeoutLog(logs.Log):
    """A log client with timeouts.

    :param log: the log.
    """

    def __init__(self, log: logs.Log) -> None:
        self._log = log

    async def append(self, stream: str, records: tuple[bytes, ...]) -> int:
        """Append within the timeout."""
        with anyio.move_on_after(LOG_TIMEOUT_S):
            return await self._log.append(stream, records)
        raise errors.LogUnavailableError("the append timed out", ran=errors.Ran.UNKNOWN)

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> logs.Page:
        """Read within the wait time plus the timeout."""
        with anyio.move_on_after(LOG_TIMEOUT_S + wait_s):
            return await self._log.read(stream, offset, wait_s)
        raise errors.LogUnavailableError("the read timed out")


class Process:
    """A simulated process; killing it cancels its work in progress."""

    def __init__(self) -> None:
        self.is_up = True
        self._scopes: dict[int, anyio.CancelScope] = {}

    def kill(self) -> None:
        """Mark the process as down and cancel its work in progress."""
        self.is_up = False
        for scope in self._scopes.values():
            scope.cancel()

    def open_scope(self) -> anyio.CancelScope:
        """Open a cancel scope for one piece of work."""
        scope = anyio.CancelScope()
        self._scopes[id(scope)] = scope
        return scope

    def close_scope(self, scope: anyio.CancelScope) -> None:
        """Remove the cancel scope of a finished piece of work."""
        self._scopes.pop(id(scope), None)


class Agent(Process):
    """One incarnation of an agent, with its target and its claim table.

    :param worker: name of the worker.
    :param incarnation: incarnation of the agent.
    :param executions: number of executions that the targets started, by key.
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
        await anyio.sleep(ONE_WAY_DELAY_S)
        if not self.is_up:
            raise errors.UnavailableError("connection refused")
        if self.busy >= SLOTS:
            raise errors.BusyError
        self._executions[call.key] += 1
        self.busy += 1
        scope = self.open_scope()
        try:
            with scope:
                await anyio.sleep(call.service_s + ONE_WAY_DELAY_S)
                return
        finally:
            self.busy -= 1
            self.close_scope(scope)
        raise errors.PeerError("the agent was killed", ran=errors.Ran.UNKNOWN)


class Entry(Process):
    """One entry: follows the shard map, claims keys, sends calls to agents and replies.

    :param name: name of the entry.
    :param log: client of the log.
    :param agents: current agents by worker; the simulation replaces killed ones.
    :param rng: random generator of the entry's choices.
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
        """Apply the shard map records of the log until killed."""
        with self.open_scope():
            while True:
                batch = await self._follower.next_batch()
                if batch.lost_records:
                    first_offset = self._follower.next_offset - len(batch.records)
                    self.chain.observe_gap(first_offset)
                for record in batch.records:
                    self.chain.observe(record.offset, record.data)

    async def run_maintenance(self) -> None:
        """Periodically send the map to the agents and propose owners for replaced agents."""
        with self.open_scope():
            while True:
                await anyio.sleep(MAINTENANCE_INTERVAL_S)
                link = self.chain.link
                if link is None:
                    continue
                for agent in self._agents.values():
                    agent.table.adopt(link)
                await self._propose(link.shard_map)

    async def serve(self, call: Call) -> Reply | None:
        """Serve a call and return its reply, or ``None`` if the entry is killed meanwhile."""
        scope = self.open_scope()
        try:
            with scope:
                if call.idempotent:
                    return await self._send(call)
                return await self._serve_once(call)
        finally:
            self.close_scope(scope)
        return None

    async def _propose(self, current_map: shards.ShardMap) -> None:
        """Append a map with new owners, if any owner was replaced."""
        running = [agent.identity for agent in self._agents.values() if agent.is_up]
        proposed_map = shards.reassign(
            current_map, shards.replacement_evidence(current_map, running), running, self._rng
        )
        if proposed_map is None:
            return
        try:
            await self._log.append(shards.STREAM, (shard_records.encode(proposed_map),))
        except errors.LogUnavailableError:
            return

    async def _serve_once(self, call: Call) -> Reply:
        """Run a non-idempotent call if its key can be claimed."""
        self._serial += 1
        claim = claims.Claim(
            team=TEAM,
            key=call.key,
            digest=call.key,
            request_id=f"{self._name}-{self._serial}",
            remaining_s=call.deadline_s - anyio.current_time(),
            first_sent_s=call.at_s,
        )
        while True:
            answer = await self._claim(claim)
            if answer.verdict is not claims.Verdict.PENDING:
                break
            await anyio.sleep(PENDING_POLL_S)
        if answer.verdict is claims.Verdict.GRANTED:
            return await self._run_claimed(call, claim)
        if answer.verdict is claims.Verdict.SETTLED:
            return Reply(True, errors.Ran.YES)
        if answer.verdict is claims.Verdict.UNKNOWN:
            return Reply(False, errors.Ran.UNKNOWN)
        return Reply(False, errors.Ran.NO)

    async def _claim(self, claim: claims.Claim) -> claims.ClaimAnswer:
        """Request the claim from the owner of the key's shard."""
        link = self.chain.link
        if link is None:
            return claims.ClaimAnswer(claims.Verdict.FROZEN)
        await anyio.sleep(2 * ONE_WAY_DELAY_S)
        owner = self._owner(claim.key, link)
        if owner is None:
            return claims.ClaimAnswer(claims.Verdict.NOT_OWNER)
        return owner.table.claim(claim, link.shard_map.revision)

    def _owner(self, key: str, link: shard_chains.ChainLink) -> Agent | None:
        """Return the agent that owns a key, or ``None`` if this incarnation is not running."""
        shard_owner = link.shard_map.owner_of(TEAM, key)
        agent = self._agents[shard_owner.worker]
        if not agent.is_up or agent.identity.incarnation != shard_owner.incarnation:
            return None
        return agent

    async def _run_claimed(self, call: Call, claim: claims.Claim) -> Reply:
        """Run a call whose claim was granted, and settle or release the claim."""
        reply = await self._send(call)
        await anyio.sleep(2 * ONE_WAY_DELAY_S)
        link = self.chain.link
        owner = self._owner(claim.key, link) if link is not None else None
        if owner is None:
            return reply
        if reply.is_done:
            owner.table.settle(claim, ANSWER)
        elif reply.ran is errors.Ran.NO:
            owner.table.release(claim)
        else:
            owner.table.settle(claim, None)
        return reply

    async def _send(self, call: Call) -> Reply:
        """Send a call to agents, with retries where they are allowed."""
        tracker = attempts.Attempts(call.idempotent, call.deadline_s)
        while tracker.may_send(anyio.current_time()):
            agent = self._choose(tracker.excluded)
            if agent is None:
                break
            attempt = tracker.begin(agent.identity.worker, anyio.current_time())
            try:
                await agent.run(call)
            except errors.PapayasparError as error:
                tracker.fail(attempt, error.ran)
                continue
            tracker.succeed(attempt)
            return Reply(True, errors.Ran.YES)
        return Reply(False, tracker.ran)

    def _choose(self, excluded: frozenset[str]) -> Agent | None:
        """Return the least busy agent; ties are broken at random."""
        usable = [agent for name, agent in self._agents.items() if name not in excluded]
        self._rng.shuffle(usable)
        return min(usable, key=lambda agent: agent.busy, default=None)
