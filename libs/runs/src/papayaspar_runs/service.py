"""The agent's service for leads, with one asynchronous task per stream.

Only the lead with the highest epoch is served.
"""

import anyio
import anyio.abc
import attrs

from papayaspar_events import journal, lines
from papayaspar_model import causality, clock, errors
from papayaspar_runs import messages, worker_control
from papayaspar_wire import peers, transports

MILLISECONDS_PER_SECOND = 1000.0
# Interval at which an agent renews the lead's lease, in seconds: a fraction of the validity of one
# renewal (`lease.AGENT_LEAD_LEASE_S`), so that a few renewals may fail.
LEAD_LEASE_RENEW_INTERVAL_S = 1.0
LEAD_LEASE_RENEW_TIMEOUT_S = 1.5
# A stream is closed when nothing was received for this long, in seconds.
SILENCE_TIMEOUT_S = 2.5
PEER_LIMITS = peers.PeerLimits(ping_interval_s=1.0, silence_timeout_s=SILENCE_TIMEOUT_S)


class LeadService(peers.Handler):
    """Serve the lead with the highest epoch.

    :param node: name of this VM.
    :param controller: controller of this VM's worker.
    :param clock_source: clock of the lead's lease.
    :param hybrid_clock: clock of event stamps.
    :param events: journal of attachments.
    """

    def __init__(
        self,
        node: str,
        controller: worker_control.WorkerController,
        clock_source: clock.Clock,
        hybrid_clock: causality.HybridClock,
        events: journal.Journal,
    ) -> None:
        self._node = node
        self._controller = controller
        self._clock = clock_source
        self._hybrid_clock = hybrid_clock
        self._events = events
        self._epoch = 0
        self._lead: peers.Peer | None = None
        self._state_count = 0
        self.lead_confirmed_s = clock_source.now_s()

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serve one stream until it ends."""
        peer = peers.Peer(stream, messages.codec(), self, self._hybrid_clock, PEER_LIMITS)
        async with anyio.create_task_group() as group:
            group.start_soon(self._report_changes, peer)
            group.start_soon(self._renew_lead_lease_forever, peer)
            await peer.run()
            group.cancel_scope.cancel()
        if self._lead is peer:
            self._lead = None
            self._events.record(lines.EventKind.LEAD_LOST, detail=f"epoch={self._epoch}")

    async def handle_call(self, peer: peers.Peer, message: object) -> object:
        """Handle a call of the lead."""
        if isinstance(message, messages.Attach):
            return await self._attach(peer, message)
        self._check_lead(peer)
        if isinstance(message, messages.StartRun):
            return await self._controller.orders.start(message)
        if isinstance(message, messages.StopRun):
            await self._controller.orders.stop(message.task, message.run)
            return messages.Stopped()
        raise errors.ProtocolError(f"unexpected call {type(message).__name__}")

    async def handle_notice(self, peer: peers.Peer, message: object) -> None:
        """Apply an acknowledgement of the lead."""
        if isinstance(message, messages.AcknowledgeEnds) and peer is self._lead:
            self._controller.acknowledge(message.incarnation, message.number)

    def _check_lead(self, peer: peers.Peer) -> None:
        if peer is not self._lead:
            raise errors.LeaseLostError("another lead has attached")

    async def _attach(self, peer: peers.Peer, attach: messages.Attach) -> messages.AgentState:
        if attach.epoch < self._epoch:
            raise errors.LeaseLostError(f"a lead of epoch {self._epoch} has attached")
        former, self._lead, self._epoch = self._lead, peer, attach.epoch
        if former is not None and former is not peer:
            former.close()
        self._events.record(
            lines.EventKind.AGENT_ATTACHED,
            detail=f"lead={attach.lead} epoch={attach.epoch} token={attach.token}",
        )
        await self._renew_lead_lease(peer)
        return self._numbered(await self._controller.attach(attach.token))

    def _numbered(self, state: messages.AgentState) -> messages.AgentState:
        """Return a state with the next number; to be called before any later state is read."""
        self._state_count += 1
        return attrs.evolve(state, sequence=self._state_count)

    async def _renew_lead_lease_forever(self, peer: peers.Peer) -> None:
        while True:
            await anyio.sleep(LEAD_LEASE_RENEW_INTERVAL_S)
            if peer is not self._lead:
                continue
            try:
                await self._renew_lead_lease(peer)
            except errors.PapayasparError as error:
                self._events.record(lines.EventKind.CALL_REFUSED, code=error.code, detail="vouch")

    async def _renew_lead_lease(self, peer: peers.Peer) -> None:
        requested_s = self._clock.now_s()
        vouch = messages.Vouch(self._node, self._controller.data_centre)
        reply = await peer.call(vouch, LEAD_LEASE_RENEW_TIMEOUT_S)
        if not isinstance(reply, messages.Vouched):
            raise errors.ProtocolError(f"Vouched expected, not {type(reply).__name__}")
        if peer is self._lead:
            start_lease_ms = reply.start_lease_ms
            self._controller.renew_lead_lease(
                requested_s,
                None if start_lease_ms is None else start_lease_ms / MILLISECONDS_PER_SECOND,
            )
            self.lead_confirmed_s = requested_s

    async def _report_changes(self, peer: peers.Peer) -> None:
        seen_sequence = self._controller.changes.sequence
        while True:
            seen_sequence = await self._controller.changes.wait_for_change(seen_sequence)
            if peer is not self._lead:
                continue
            try:
                await peer.notify(self._numbered(self._controller.state()))
            except errors.PeerError as error:
                self._events.record(lines.EventKind.PEER_LOST, code=error.code)
                return


async def listen(host: str, ports: tuple[int, int]) -> transports.Listener:
    """Listen on the first free port of a range.

    :param host: IP address.
    :param ports: first and last port.
    :raises PeerError: when no port is free.
    """
    for port in range(ports[0], ports[1] + 1):
        try:
            return await transports.listen(transports.Address(host, port))
        except OSError:
            # The port is in use; the next one may be free.
            continue
    raise errors.PeerError(f"no free port on {host} from {ports[0]} to {ports[1]}")
