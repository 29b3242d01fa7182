"""Streams from agents, one task each, as the entry sees them."""

import anyio
import anyio.abc

from papayaspar_events import journal, lines
from papayaspar_membership import members
from papayaspar_model import clock, errors, workers
from papayaspar_wire import codecs, messages, peers

HELLO_TIMEOUT_S = 5.0


class AgentHandler(peers.Handler):
    """Takes what one agent says on one stream.

    :param sessions: the entry's table of sessions.
    """

    def __init__(self, sessions: "Sessions") -> None:
        self._sessions = sessions
        self.identity: workers.WorkerIdentity | None = None

    async def call(self, peer: peers.Peer, message: object) -> object:
        """Answer the agent's hello."""
        if not isinstance(message, messages.Hello):
            raise errors.ProtocolError(f"an entry does not answer {type(message).__name__}")
        self._sessions.observe(message.report)
        self.identity = message.report.identity
        self._sessions.attach(message.report.identity, peer)
        return self._sessions.welcome()

    async def notice(self, peer: peers.Peer, message: object) -> None:
        """Take the agent's reports."""
        if isinstance(message, messages.Report):
            self._sessions.observe(message.report)


class Sessions:
    """Open streams by worker; the newest stream of the newest life is used.

    :param name: name of this entry.
    :param table: the entry's view of the workers.
    :param record: the process's journal.
    :param clock_source: clock of the machine.
    """

    def __init__(
        self,
        name: str,
        table: members.MemberTable,
        record: journal.Journal,
        clock_source: clock.Clock,
    ) -> None:
        self._name = name
        self._table = table
        self._journal = record
        self._clock = clock_source
        self._codec: codecs.Codec = messages.codec()
        self._peers: dict[str, peers.Peer] = {}
        self.entries: tuple[str, ...] = ()

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serve one stream until it ends; runs in a task of its own."""
        handler = AgentHandler(self)
        peer = peers.Peer(stream, self._codec, handler, self._journal.stamps)
        await peer.run()
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
        return messages.Welcome(self._name, self.entries)

    def observe(self, report: workers.WorkerReport) -> None:
        """Take a report into the view and record what it changed."""
        before = self._table.get(report.identity.worker)
        was_draining = before is not None and before.report.draining
        change = self._table.observe(report)
        if change is members.Change.STALE:
            return
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

    def _detach(self, identity: workers.WorkerIdentity, peer: peers.Peer) -> None:
        if self._peers.get(identity.worker) is not peer:
            return
        del self._peers[identity.worker]
        if self._table.lose(identity, self._clock.now_s()):
            self._journal.record(lines.EventKind.WORKER_LOST, worker=identity.worker)
