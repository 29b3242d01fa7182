"""Streams to the other entries: one task each, for rules and for finding one another."""

import random

import anyio
import anyio.abc

from papayaspar_dispatch import calls as dispatch_calls
from papayaspar_entry import rulebook
from papayaspar_events import journal, lines
from papayaspar_model import errors, signals
from papayaspar_wire import messages, peers, transports

RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 3.0
HELLO_TIMEOUT_S = 3.0


class RulesHandler(peers.Handler):
    """Takes the rules that another entry passes on.

    :param book: the rules of this entry.
    """

    def __init__(self, book: rulebook.Rulebook) -> None:
        self._book = book

    async def call(self, peer: peers.Peer, message: object) -> object:
        """Refuse; entries call one another on streams they opened themselves."""
        raise errors.ProtocolError(f"no answer to {type(message).__name__} here")

    async def notice(self, peer: peers.Peer, message: object) -> None:
        """Adopt newer rules."""
        if isinstance(message, messages.RulesInForce):
            self._book.adopt(message.records)


class EntryLinks:
    """Keeps a stream to every other entry that this one has heard of.

    :param book: the rules of this entry.
    :param record: the process's journal.
    :param tls: files for mutual TLS, or ``None``.
    """

    def __init__(
        self,
        book: rulebook.Rulebook,
        record: journal.Journal,
        tls: transports.TlsFiles | None,
    ) -> None:
        self._book = book
        self._handler = RulesHandler(book)
        self._journal = record
        self._tls = tls
        self._codec = messages.codec(*dispatch_calls.ALL)
        self._known: set[str] = set()
        self._open: set[str] = set()
        self._live: tuple[str, ...] | None = None
        self._group: anyio.abc.TaskGroup | None = None
        self.changes = signals.ChangeSignal()
        self.own_address = ""

    @property
    def known(self) -> tuple[str, ...]:
        """Addresses of every entry heard of, this one first."""
        return (self.own_address, *sorted(self._known))

    @property
    def live(self) -> tuple[str, ...]:
        """Addresses of the live entries, this one among them, sorted."""
        if self._live is None:
            self._live = tuple(sorted({self.own_address, *self._open}))
        return self._live

    @property
    def is_first(self) -> bool:
        """Whether this is the first live entry, which proposes what all agree on by the log."""
        return self.live[0] == self.own_address

    async def run(self, addresses: tuple[str, ...]) -> None:
        """Keep the streams until cancelled; runs in a task of its own.

        :param addresses: entries known at start.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            self.learn(addresses)
            await anyio.sleep_forever()

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Hold a stream to each entry, one task each.

        :param addresses: ``ip:port`` of entries, known ones too.
        """
        if self._group is None:
            return
        for address in addresses:
            if address in self._known or address == self.own_address:
                continue
            self._known.add(address)
            self.changes.changed()
            self._group.start_soon(self._keep, address)

    async def _keep(self, address: str) -> None:
        wait_s = RECONNECT_MIN_S
        while True:
            try:
                stream = await transports.connect(transports.Address.parse(address), self._tls)
                wait_s = RECONNECT_MIN_S
                await self._talk(address, stream)
            except errors.PapayasparError as error:
                detail = f"entry {address}"
                self._journal.record(lines.EventKind.PEER_LOST, code=error.code, detail=detail)
            finally:
                self._open.discard(address)
                self._live = None
            await anyio.sleep(wait_s * random.uniform(0.5, 1.0))
            wait_s = min(wait_s * 2, RECONNECT_MAX_S)

    async def _talk(self, address: str, stream: anyio.abc.ByteStream) -> None:
        stamps = self._journal.stamps
        async with peers.connected(stream, self._codec, self._handler, stamps) as peer:
            hello = messages.EntryHello(self._journal.process, self.own_address)
            reply = await peer.call(hello, HELLO_TIMEOUT_S)
            welcome = messages.expect(reply, messages.Welcome)
            self._open.add(address)
            self._live = None
            self.learn(welcome.entries)
            detail = f"entry {welcome.process}"
            self._journal.record(lines.EventKind.PEER_CONNECTED, detail=detail)
            sent = 0
            while True:
                seen = self._book.changes.sequence
                await peer.notify(messages.RulesInForce(self._book.records_since(sent)))
                sent = self._book.rules.revision
                await self._book.changes.wait_beyond(seen)
