"""Streams to the other entries, which exchange rules and the addresses of entries."""

import random

import anyio
import anyio.abc

from papayaspar_dispatch import calls as dispatch_calls
from papayaspar_entry import rules_manager
from papayaspar_events import journal, lines
from papayaspar_model import errors, signals
from papayaspar_wire import messages, peers, transports

BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 3.0
HELLO_TIMEOUT_S = 3.0


class EntryStreamHandler(peers.Handler):
    """Handles the rules that another entry sends.

    :param rules: manager of the rules in force.
    """

    def __init__(self, rules: rules_manager.RulesManager) -> None:
        self._rules = rules

    async def handle_call(self, peer: peers.Peer, message: object) -> object:
        """Reject the call: an entry sends calls only on streams that it opened itself."""
        raise errors.ProtocolError(f"unexpected call {type(message).__name__} from an entry")

    async def handle_notice(self, peer: peers.Peer, message: object) -> None:
        """Apply newer rules."""
        if isinstance(message, messages.RulesInForce):
            self._rules.adopt(message.records)


class EntryLinks:
    """Maintains one stream to each other entry whose address this entry knows.

    :param rules: manager of the rules in force.
    :param event_journal: journal of this process's events.
    :param tls: files for mutual TLS, or ``None`` for plain TCP.
    """

    def __init__(
        self,
        rules: rules_manager.RulesManager,
        event_journal: journal.Journal,
        tls: transports.TlsFiles | None,
    ) -> None:
        self._rules = rules
        self._handler = EntryStreamHandler(rules)
        self._journal = event_journal
        self._tls = tls
        self._codec = messages.codec(*dispatch_calls.ALL)
        self._addresses: set[str] = set()
        self._connected: set[str] = set()
        self._live_addresses: tuple[str, ...] | None = None
        self._group: anyio.abc.TaskGroup | None = None
        self.changes = signals.ChangeSignal()
        self.own_address = ""

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all entries that this entry knows, its own first."""
        return (self.own_address, *sorted(self._addresses))

    @property
    def live_addresses(self) -> tuple[str, ...]:
        """Sorted addresses of this entry and the connected entries."""
        if self._live_addresses is None:
            self._live_addresses = tuple(sorted({self.own_address, *self._connected}))
        return self._live_addresses

    @property
    def is_proposer(self) -> bool:
        """Whether this entry has the first live address, and so proposes homes and shard maps."""
        return self.live_addresses[0] == self.own_address

    async def run(self, addresses: tuple[str, ...]) -> None:
        """Maintain the streams until cancelled; run this in a separate task.

        :param addresses: addresses of the entries to connect to at start.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            self.add(addresses)
            await anyio.sleep_forever()

    def add(self, addresses: tuple[str, ...]) -> None:
        """Maintain a stream to each entry, one task each.

        :param addresses: ``ip:port`` of entries; known ones are ignored.
        """
        if self._group is None:
            return
        for address in addresses:
            if address in self._addresses or address == self.own_address:
                continue
            self._addresses.add(address)
            self.changes.notify()
            self._group.start_soon(self._maintain, address)

    async def _maintain(self, address: str) -> None:
        backoff_s = BACKOFF_MIN_S
        while True:
            try:
                stream = await transports.connect(transports.Address.parse(address), self._tls)
                backoff_s = BACKOFF_MIN_S
                await self._run_stream(address, stream)
            except errors.PapayasparError as error:
                detail = f"entry {address}"
                self._journal.record(lines.EventKind.PEER_LOST, code=error.code, detail=detail)
            finally:
                self._connected.discard(address)
                self._live_addresses = None
            await anyio.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, BACKOFF_MAX_S)

    async def _run_stream(self, address: str, stream: anyio.abc.ByteStream) -> None:
        hybrid_clock = self._journal.hybrid_clock
        async with peers.connected(stream, self._codec, self._handler, hybrid_clock) as peer:
            hello = messages.EntryHello(self._journal.process, self.own_address)
            reply = await peer.call(hello, HELLO_TIMEOUT_S)
            welcome = messages.expect(reply, messages.Welcome)
            self._connected.add(address)
            self._live_addresses = None
            self.add(welcome.entries)
            detail = f"entry {welcome.process}"
            self._journal.record(lines.EventKind.PEER_CONNECTED, detail=detail)
            sent_revision = 0
            while True:
                seen_sequence = self._rules.changes.sequence
                await peer.notify(messages.RulesInForce(self._rules.records_since(sent_revision)))
                sent_revision = self._rules.current.revision
                await self._rules.changes.wait_for_change(seen_sequence)
