"""Streams to other agents, opened on demand, with one asynchronous task each."""

import collections

import anyio
import anyio.abc

from papayaspar_events import journal
from papayaspar_model import errors
from papayaspar_wire import codecs, peers, transports

ADDRESSES_MAX = 4096
IDLE_TIMEOUT_S = 30.0


class AgentLink:
    """The stream to one other agent, which is closed when idle.

    :param address: ``ip:port`` of that agent.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.peer: peers.Peer | None = None
        self.opened_or_failed = anyio.Event()
        self.failure: errors.PapayasparError | None = None
        self.last_used_s = anyio.current_time()


class AgentLinks:
    """Streams to other agents by worker name.

    :param handler: handler of calls that other agents send on these streams.
    :param codec: codec of the messages.
    :param event_journal: event journal of the process.
    :param tls: files for mutual TLS, or ``None``.
    """

    def __init__(
        self,
        handler: peers.Handler,
        codec: codecs.Codec,
        event_journal: journal.Journal,
        tls: transports.TlsFiles | None,
    ) -> None:
        self._handler = handler
        self._codec = codec
        self._journal = event_journal
        self._tls = tls
        self._addresses: collections.OrderedDict[str, str] = collections.OrderedDict()
        self._links: dict[str, AgentLink] = {}
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Run the tasks of the streams until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def update_address(self, worker: str, address: str) -> None:
        """Record the address of a worker's agent; the least recently updated one is evicted.

        :param worker: name of the worker.
        :param address: ``ip:port``.
        """
        self._addresses[worker] = address
        self._addresses.move_to_end(worker)
        if len(self._addresses) > ADDRESSES_MAX:
            self._addresses.popitem(last=False)

    async def call(self, worker: str, message: object, timeout_s: float) -> object:
        """Call another agent; parameters and errors as :meth:`papayaspar_wire.peers.Peer.call`.

        :raises PeerError: also if the agent's address is unknown or the connection fails.
        """
        address = self._addresses.get(worker)
        if address is None:
            raise errors.PeerError(f"the address of {worker} is unknown")
        link = self._get_or_open(address)
        await link.opened_or_failed.wait()
        link.last_used_s = anyio.current_time()
        if link.peer is None:
            raise link.failure or errors.PeerError(f"no stream to {worker}")
        return await link.peer.call(message, timeout_s)

    def _get_or_open(self, address: str) -> AgentLink:
        link = self._links.get(address)
        if link is not None:
            return link
        if self._group is None:
            raise errors.PeerError("the agent is not running")
        link = AgentLink(address)
        self._links[address] = link
        self._group.start_soon(self._run_link, link)
        return link

    async def _run_link(self, link: AgentLink) -> None:
        try:
            stream = await transports.connect(transports.Address.parse(link.address), self._tls)
            hybrid_clock = self._journal.hybrid_clock
            async with peers.connected(stream, self._codec, self._handler, hybrid_clock) as peer:
                link.peer = peer
                link.opened_or_failed.set()
                while True:
                    await anyio.sleep(IDLE_TIMEOUT_S)
                    if anyio.current_time() - link.last_used_s >= IDLE_TIMEOUT_S:
                        break
        except errors.PapayasparError as error:
            link.failure = error
        finally:
            self._links.pop(link.address, None)
            link.peer = None
            link.opened_or_failed.set()
