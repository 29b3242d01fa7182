"""Streams to other agents, opened when a gang needs them: one task each."""

import collections

import anyio
import anyio.abc

from papayaspar_events import journal
from papayaspar_model import errors
from papayaspar_wire import codecs, peers, transports

ADDRESSES_MAX = 4096
IDLE_S = 30.0


class AgentLink:
    """The stream to one other agent, kept while it is used.

    :param address: where that agent listens.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.peer: peers.Peer | None = None
        self.settled = anyio.Event()
        self.failure: errors.PapayasparError | None = None
        self.used_s = anyio.current_time()


class AgentLinks:
    """Streams to other agents by name of the worker.

    :param handler: answers what other agents ask on these streams.
    :param codec: knows the messages.
    :param record: the process's journal.
    :param tls: files for mutual TLS, or ``None``.
    """

    def __init__(
        self,
        handler: peers.Handler,
        codec: codecs.Codec,
        record: journal.Journal,
        tls: transports.TlsFiles | None,
    ) -> None:
        self._handler = handler
        self._codec = codec
        self._journal = record
        self._tls = tls
        self._addresses: collections.OrderedDict[str, str] = collections.OrderedDict()
        self._links: dict[str, AgentLink] = {}
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Hold the streams until cancelled; runs in a task of its own."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def learn(self, worker: str, address: str) -> None:
        """Remember where a worker's agent listens; the addresses used last are kept.

        :param worker: name of the worker.
        :param address: ``ip:port``.
        """
        self._addresses[worker] = address
        self._addresses.move_to_end(worker)
        if len(self._addresses) > ADDRESSES_MAX:
            self._addresses.popitem(last=False)

    async def call(self, worker: str, message: object, timeout_s: float) -> object:
        """Call another agent; parameters and errors as :meth:`papayaspar_wire.peers.Peer.call`.

        :raises PeerError: also when the agent's address is not known, or no connection is made.
        """
        address = self._addresses.get(worker)
        if address is None:
            raise errors.PeerError(f"no address of {worker}")
        link = self._link(address)
        await link.settled.wait()
        link.used_s = anyio.current_time()
        if link.peer is None:
            raise link.failure or errors.PeerError(f"no stream to {worker}")
        return await link.peer.call(message, timeout_s)

    def _link(self, address: str) -> AgentLink:
        link = self._links.get(address)
        if link is not None:
            return link
        if self._group is None:
            raise errors.PeerError("the agent is not running")
        link = AgentLink(address)
        self._links[address] = link
        self._group.start_soon(self._hold, link)
        return link

    async def _hold(self, link: AgentLink) -> None:
        try:
            stream = await transports.connect(transports.Address.parse(link.address), self._tls)
            stamps = self._journal.stamps
            async with peers.connected(stream, self._codec, self._handler, stamps) as peer:
                link.peer = peer
                link.settled.set()
                while True:
                    await anyio.sleep(IDLE_S)
                    if anyio.current_time() - link.used_s >= IDLE_S:
                        break
        except errors.PapayasparError as error:
            link.failure = error
        finally:
            self._links.pop(link.address, None)
            link.peer = None
            link.settled.set()
