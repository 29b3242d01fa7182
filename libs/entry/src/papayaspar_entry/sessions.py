"""Streams from agents and other entries, one task each, as the entry serves them."""

import anyio
import anyio.abc

from papayaspar_dispatch import calls as dispatch_calls
from papayaspar_entry import entry_links, homekeeper, rulebook, shardkeeper
from papayaspar_events import journal, lines
from papayaspar_membership import members
from papayaspar_model import clock, errors, rulesets, workers
from papayaspar_placement import fleet
from papayaspar_slots import calls
from papayaspar_wire import codecs, messages, peers

HELLO_TIMEOUT_S = 5.0


class StreamHandler(peers.Handler):
    """Takes what one agent, or one other entry, says on one stream.

    :param sessions: the entry's table of sessions.
    """

    def __init__(self, sessions: "Sessions") -> None:
        self._sessions = sessions
        self.identity: workers.WorkerIdentity | None = None
        self.rules_revision = 0
        self.greeted = anyio.Event()

    async def call(self, peer: peers.Peer, message: object) -> object:
        """Answer the hello of an agent or of an entry, and a leaving agent's report."""
        if isinstance(message, messages.Report):
            self._sessions.observe(message.report)
            return messages.ReportTaken()
        if isinstance(message, messages.EntryHello):
            self.greeted.set()
            return self._sessions.welcome_entry(message)
        if not isinstance(message, messages.Hello):
            raise errors.ProtocolError(f"an entry does not answer {type(message).__name__}")
        self._sessions.observe(message.report)
        self._sessions.attach(message.report.identity, peer)
        self.identity = message.report.identity
        self.rules_revision = message.rules_revision
        await self._sessions.catch_up(peer, message)
        self.greeted.set()
        return self._sessions.welcome()

    async def notice(self, peer: peers.Peer, message: object) -> None:
        """Take an agent's reports and an entry's rules."""
        if isinstance(message, messages.Report):
            self._sessions.observe(message.report)
        if isinstance(message, messages.RulesInForce):
            self._sessions.rules.adopt(message.records)
        if isinstance(message, dispatch_calls.ShardsInForce):
            self._sessions.shards.adopt(message.link)

    async def late(self, peer: peers.Peer, message: object) -> None:
        """Count an answer that came after its request was given up."""
        if isinstance(message, messages.RequestAnswer):
            self._sessions.drop(message)


class Sessions:
    """Open streams by worker; the newest stream of the newest life is used.

    :param name: name of this entry.
    :param table: the entry's view of the workers.
    :param view: the fleet as placement sees it, fed by the same reports.
    :param book: the rules of this entry.
    :param links: streams to the other entries.
    :param keeper: the homes of guarantees.
    :param shards: owners of the shards of keys.
    :param record: the process's journal.
    :param clock_source: clock of the machine.
    """

    def __init__(
        self,
        name: str,
        table: members.MemberTable,
        view: fleet.FleetView,
        book: rulebook.Rulebook,
        links: entry_links.EntryLinks,
        keeper: homekeeper.Homekeeper,
        shards: shardkeeper.Shardkeeper,
        record: journal.Journal,
        clock_source: clock.Clock,
    ) -> None:
        self._name = name
        self._table = table
        self._view = view
        self.rules = book
        self._journal = record
        self._clock = clock_source
        self._codec: codecs.Codec = messages.codec(*calls.ALL, *dispatch_calls.ALL)
        self._peers: dict[str, peers.Peer] = {}
        self.links = links
        self._keeper = keeper
        self.shards = shards

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serve one stream until it ends; runs in a task of its own."""
        handler = StreamHandler(self)
        peer = peers.Peer(stream, self._codec, handler, self._journal.stamps)
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

        :raises PeerError: when none is open; nothing was sent.
        """
        peer = self._peers.get(worker)
        if peer is None or not peer.is_open:
            raise errors.PeerError(f"no stream to {worker}")
        return peer

    def welcome(self) -> messages.Welcome:
        """Return the answer to a hello."""
        return messages.Welcome(self._name, self.links.known)

    def welcome_entry(self, hello: messages.EntryHello) -> messages.Welcome:
        """Return the answer to another entry's hello, and remember that entry."""
        self.links.learn((hello.address,))
        return self.welcome()

    async def catch_up(self, peer: peers.Peer, hello: messages.Hello) -> None:
        """Adopt what an agent knows and this entry does not, as after a start without the log."""
        if hello.rules_revision > self.rules.rules.revision:
            reply = await peer.call(messages.RulesWanted(), HELLO_TIMEOUT_S)
            self.rules.adopt(messages.expect(reply, messages.RulesInForce).records)
        if self.shards.link is None:
            reply = await peer.call(dispatch_calls.ShardsWanted(), HELLO_TIMEOUT_S)
            self.shards.adopt(messages.expect(reply, dispatch_calls.ShardsHeld).link)

    def drop(self, answer: messages.RequestAnswer) -> None:
        """Record a late answer, which reaches nobody."""
        self._journal.record(
            lines.EventKind.ANSWER_DROPPED,
            worker=answer.worker,
            request=answer.request_id,
            attempt=answer.attempt,
        )

    def observe(self, report: workers.WorkerReport) -> None:
        """Take a report into the view and record what it changed."""
        before = self._table.get(report.identity.worker)
        was_draining = before is not None and before.report.draining
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
        """Use a stream for a worker from now on; calls on the old one go on to their end.

        :raises StaleMemberError: when a newer life of the worker is known.
        """
        member = self._table.get(identity.worker)
        if member is not None and member.report.identity.incarnation > identity.incarnation:
            raise members.StaleMemberError(identity.worker)
        self._peers[identity.worker] = peer

    async def _push_rules(self, handler: StreamHandler, peer: peers.Peer) -> None:
        await handler.greeted.wait()
        sent = handler.rules_revision
        while peer.is_open:
            seen = self.rules.changes.sequence
            message = self._rules_for(handler, sent)
            sent = self.rules.rules.revision
            try:
                await peer.notify(message)
            except errors.PeerError:
                return
            await self.rules.changes.wait_beyond(seen)

    def _rules_for(self, handler: StreamHandler, sent: int) -> messages.RulesInForce:
        packed = self._keeper.packed
        worker = handler.identity.worker if handler.identity is not None else ""
        own = tuple(home for home in packed.homes if _stands_on(home, worker))
        return messages.RulesInForce(self.rules.records_since(sent), own, packed.revision)

    async def _push_shards(self, handler: StreamHandler, peer: peers.Peer) -> None:
        await handler.greeted.wait()
        while peer.is_open:
            seen = self.shards.changes.sequence
            link = self.shards.link
            try:
                if link is not None:
                    await peer.notify(dispatch_calls.ShardsInForce(link))
            except errors.PeerError:
                return
            await self.shards.changes.wait_beyond(seen)

    async def _push_entries(self, handler: StreamHandler, peer: peers.Peer) -> None:
        await handler.greeted.wait()
        seen = self.links.changes.sequence
        while peer.is_open:
            seen = await self.links.changes.wait_beyond(seen)
            try:
                await peer.notify(messages.EntriesChanged(self.links.known))
            except errors.PeerError:
                return

    def _detach(self, identity: workers.WorkerIdentity, peer: peers.Peer) -> None:
        if self._peers.get(identity.worker) is not peer:
            return
        del self._peers[identity.worker]
        if self._table.lose(identity, self._clock.now_s()):
            self._journal.record(lines.EventKind.WORKER_LOST, worker=identity.worker)


def _stands_on(home: rulesets.Home, worker: str) -> bool:
    return any(task.worker == worker for task in home.tasks)
