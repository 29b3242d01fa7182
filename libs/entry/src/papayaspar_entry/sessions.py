"""Server side of the streams from agents and other entries, one task each."""

import anyio
import anyio.abc

from papayaspar_dispatch import calls as dispatch_calls
from papayaspar_entry import entry_links, home_manager, rules_manager, shard_manager
from papayaspar_events import journal, lines
from papayaspar_membership import members
from papayaspar_model import clock, errors, rulesets, workers
from papayaspar_placement import fleet
from papayaspar_slots import calls
from papayaspar_wire import codecs, messages, peers

HELLO_TIMEOUT_S = 5.0


class StreamHandler(peers.Handler):
    """Handles the messages of one agent, or of another entry, on one stream.

    :param sessions: this entry's open streams.
    """

    def __init__(self, sessions: "Sessions") -> None:
        self._sessions = sessions
        self.identity: workers.WorkerIdentity | None = None
        self.rules_revision = 0
        self.hello_received = anyio.Event()

    async def handle_call(self, peer: peers.Peer, message: object) -> object:
        """Answer the hello of an agent or of an entry, and the report of a draining agent."""
        if isinstance(message, messages.Report):
            self._sessions.observe(message.report)
            return messages.ReportTaken()
        if isinstance(message, messages.EntryHello):
            self.hello_received.set()
            return self._sessions.welcome_entry(message)
        if not isinstance(message, messages.Hello):
            raise errors.ProtocolError(
                f"an entry does not accept the call {type(message).__name__}"
            )
        self._sessions.observe(message.report)
        self._sessions.attach(message.report.identity, peer)
        self.identity = message.report.identity
        self.rules_revision = message.rules_revision
        await self._sessions.synchronize(peer, message)
        self.hello_received.set()
        return self._sessions.welcome()

    async def handle_notice(self, peer: peers.Peer, message: object) -> None:
        """Apply the reports of an agent, and the rules and shard maps of a peer."""
        if isinstance(message, messages.Report):
            self._sessions.observe(message.report)
        if isinstance(message, messages.RulesInForce):
            self._sessions.rules.adopt(message.records)
        if isinstance(message, dispatch_calls.ShardsInForce):
            self._sessions.shards.adopt(message.link)

    async def handle_late_reply(self, peer: peers.Peer, message: object) -> None:
        """Record an answer that arrived after its request had timed out or was cancelled."""
        if isinstance(message, messages.RequestAnswer):
            self._sessions.record_dropped_answer(message)


class Sessions:
    """Open streams by worker; the newest stream of the worker's newest incarnation is used.

    :param name: name of this entry.
    :param table: this entry's table of workers.
    :param view: this entry's view of the fleet for placement, updated with the same reports.
    :param rules: manager of the rules in force.
    :param links: streams to the other entries.
    :param homes: manager of the homes of guarantees.
    :param shards: manager of the shard map.
    :param event_journal: journal of this process's events.
    :param clock_source: source of monotonic and wall-clock time.
    """

    def __init__(
        self,
        name: str,
        table: members.MemberTable,
        view: fleet.FleetView,
        rules: rules_manager.RulesManager,
        links: entry_links.EntryLinks,
        homes: home_manager.HomeManager,
        shards: shard_manager.ShardManager,
        event_journal: journal.Journal,
        clock_source: clock.Clock,
    ) -> None:
        self._name = name
        self._table = table
        self._view = view
        self.rules = rules
        self._journal = event_journal
        self._clock = clock_source
        self._codec: codecs.Codec = messages.codec(*calls.ALL, *dispatch_calls.ALL)
        self._peers: dict[str, peers.Peer] = {}
        self.links = links
        self._homes = homes
        self.shards = shards

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serve one stream until it ends; run this in a separate task."""
        handler = StreamHandler(self)
        peer = peers.Peer(stream, self._codec, handler, self._journal.hybrid_clock)
        async with anyio.create_task_group() as group:
            group.start_soon(self._push_rules, handler, peer)
            group.start_soon(self._push_shards, handler, peer)
            group.start_soon(self._push_entries, handler, peer)
            await peer.run()
            group.cancel_scope.cancel()
        if handler.identity is not None:
            self._detach(handler.identity, peer)

    def peer(self, worker: str) -> peers.Peer:
        """Return the stream to a worker's agent.

        :raises PeerError: if no stream is open; nothing was sent.
        """
        peer = self._peers.get(worker)
        if peer is None or not peer.is_open:
            raise errors.PeerError(f"no stream to {worker} is open")
        return peer

    def welcome(self) -> messages.Welcome:
        """Return the answer to a hello."""
        return messages.Welcome(self._name, self.links.addresses)

    def welcome_entry(self, hello: messages.EntryHello) -> messages.Welcome:
        """Return the answer to another entry's hello, and connect to that entry."""
        self.links.add((hello.address,))
        return self.welcome()

    async def synchronize(self, peer: peers.Peer, hello: messages.Hello) -> None:
        """Fetch newer rules, and a shard map if this entry has none, from an agent.

        An entry that started while the log was unavailable depends on this.
        """
        if hello.rules_revision > self.rules.current.revision:
            reply = await peer.call(messages.RulesWanted(), HELLO_TIMEOUT_S)
            self.rules.adopt(messages.expect(reply, messages.RulesInForce).records)
        if self.shards.link is None:
            reply = await peer.call(dispatch_calls.ShardsWanted(), HELLO_TIMEOUT_S)
            self.shards.adopt(messages.expect(reply, dispatch_calls.ShardsHeld).link)

    def record_dropped_answer(self, answer: messages.RequestAnswer) -> None:
        """Record a late answer, which is dropped."""
        self._journal.record(
            lines.EventKind.ANSWER_DROPPED,
            worker=answer.worker,
            request=answer.request_id,
            attempt=answer.attempt,
        )

    def observe(self, report: workers.WorkerReport) -> None:
        """Apply a report to the table and the view, and record the changes as events."""
        previous = self._table.get(report.identity.worker)
        was_draining = previous is not None and previous.report.draining
        change = self._table.observe(report)
        if change is members.Change.STALE:
            return
        self._view.observe(report, self._clock.now_s())
        kinds = {
            members.Change.JOINED: lines.EventKind.WORKER_JOINED,
            members.Change.RETURNED: lines.EventKind.WORKER_JOINED,
            members.Change.REPLACED: lines.EventKind.WORKER_REPLACED,
        }
        if change in kinds:
            self._journal.record(kinds[change], worker=report.identity.worker)
        if report.draining and not was_draining:
            self._journal.record(lines.EventKind.WORKER_DRAINING, worker=report.identity.worker)

    def attach(self, identity: workers.WorkerIdentity, peer: peers.Peer) -> None:
        """Use a stream for new calls to a worker; calls on its previous stream continue.

        :raises StaleMemberError: if a newer incarnation of the worker has reported.
        """
        member = self._table.get(identity.worker)
        if member is not None and member.report.identity.incarnation > identity.incarnation:
            raise members.StaleMemberError(
                f"a newer incarnation of worker {identity.worker} has reported"
            )
        self._peers[identity.worker] = peer

    async def _push_rules(self, handler: StreamHandler, peer: peers.Peer) -> None:
        await handler.hello_received.wait()
        sent_revision = handler.rules_revision
        while peer.is_open:
            seen_sequence = self.rules.changes.sequence
            message = self._rules_for(handler, sent_revision)
            sent_revision = self.rules.current.revision
            try:
                await peer.notify(message)
            except errors.PeerError:
                return
            await self.rules.changes.wait_for_change(seen_sequence)

    def _rules_for(self, handler: StreamHandler, sent_revision: int) -> messages.RulesInForce:
        packed = self._homes.packed
        worker = handler.identity.worker if handler.identity is not None else ""
        own_homes = tuple(home for home in packed.homes if _uses_worker(home, worker))
        return messages.RulesInForce(
            self.rules.records_since(sent_revision), own_homes, packed.revision
        )

    async def _push_shards(self, handler: StreamHandler, peer: peers.Peer) -> None:
        await handler.hello_received.wait()
        while peer.is_open:
            seen_sequence = self.shards.changes.sequence
            link = self.shards.link
            try:
                if link is not None:
                    await peer.notify(dispatch_calls.ShardsInForce(link))
            except errors.PeerError:
                return
            await self.shards.changes.wait_for_change(seen_sequence)

    async def _push_entries(self, handler: StreamHandler, peer: peers.Peer) -> None:
        await handler.hello_received.wait()
        seen_sequence = self.links.changes.sequence
        while peer.is_open:
            seen_sequence = await self.links.changes.wait_for_change(seen_sequence)
            try:
                await peer.notify(messages.EntriesChanged(self.links.addresses))
            except errors.PeerError:
                return

    def _detach(self, identity: workers.WorkerIdentity, peer: peers.Peer) -> None:
        if self._peers.get(identity.worker) is not peer:
            return
        del self._peers[identity.worker]
        if self._table.mark_disconnected(identity, self._clock.now_s()):
            self._journal.record(lines.EventKind.WORKER_LOST, worker=identity.worker)


def _uses_worker(home: rulesets.Home, worker: str) -> bool:
    return any(task.worker == worker for task in home.tasks)
