"""The agent daemon, with one asynchronous task for the stream to each entry."""

import random

import anyio
import anyio.abc

from papayaspar_agent import (
    agent_links,
    claim_service,
    config,
    gang_events,
    gang_peers,
    gang_service,
    requests,
    rules_cache,
    targets,
)
from papayaspar_dispatch import calls as dispatch_calls
from papayaspar_dispatch import claim_tables
from papayaspar_events import journal, lines, metrics
from papayaspar_model import causality, clock, errors, signals, workers
from papayaspar_platform import http_runtimes, runtimes
from papayaspar_settings import daemons
from papayaspar_slots import agents, calls, claims, ledger, timings
from papayaspar_slots import messages as gang_messages
from papayaspar_wire import messages, peers, transports

REPORT_INTERVAL_MIN_S = 0.02
RECONNECT_BACKOFF_MIN_S = 0.1
RECONNECT_BACKOFF_MAX_S = 2.0
HELLO_TIMEOUT_S = 3.0
# Entries acknowledge a draining report within milliseconds; this bounds the wait for an entry
# that does not answer.
DRAIN_ACKNOWLEDGE_TIMEOUT_S = 2.0
LATE_REQUESTS_WAIT_S = 0.5
HAND_OVER_TIMEOUT_S = 5.0


class AgentHandler(peers.Handler):
    """Handles messages of entries and other agents.

    :param runner: runner of requests.
    :param agent: the agent.
    """

    def __init__(self, runner: requests.RequestRunner, agent: "Agent") -> None:
        self._runner = runner
        self._agent = agent

    async def handle_call(self, peer: peers.Peer, message: object) -> object:
        """Return the answer to one call."""
        if isinstance(message, messages.RunRequest):
            return await self._runner.run(message)
        if isinstance(message, messages.DrainWorker):
            self._agent.drain()
            return messages.Done()
        if isinstance(message, messages.RulesWanted):
            return self._agent.rules.newest()
        if isinstance(message, messages.EventsWanted):
            return self._agent.newest_events(message.limit)
        if self._agent.claims.handles(message):
            return self._agent.claims.answer(message)
        return await self._agent.answer_gang(message)

    async def handle_notice(self, peer: peers.Peer, message: object) -> None:
        """Handle one notice from an entry."""
        if isinstance(message, messages.CancelRequest):
            self._runner.cancel(message)
        if isinstance(message, messages.RulesInForce):
            self._agent.rules.apply(message)
        if isinstance(message, dispatch_calls.ShardsInForce):
            self._agent.claims.apply_shard_map(message)
        if isinstance(message, messages.EntriesChanged):
            self._agent.add_entries(message.entries)


class Agent(daemons.Daemon):
    """Agent of one worker and its target.

    :param settings: validated configuration.
    :param target: client of the target; by default the HTTP target of the configuration.
    :param runtime: client of the worker runtime; by default the HTTP runtime of the configuration.
    :param clock_source: clock of the machine.
    """

    def __init__(
        self,
        settings: config.AgentConfig,
        target: targets.Target | None = None,
        runtime: runtimes.Runtime | None = None,
        clock_source: clock.Clock | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock_source or clock.BootClock()
        hybrid_clock = causality.HybridClock(self._clock)
        self._journal = journal.Journal(
            settings.worker, settings.data_centre, hybrid_clock, metrics.Metrics()
        )
        self._ledger = ledger.Ledger(settings.worker, settings.capacity, self._clock)
        self.rules = rules_cache.RulesCache(self._ledger, self._journal)
        table = claim_tables.ClaimTable(settings.worker, settings.incarnation, self._clock)
        self.claims = claim_service.ClaimService(settings.identity, table, self._journal)
        self._target = target or targets.HttpTarget(settings.target, settings.capacity.connections)
        self._runner = requests.RequestRunner(
            self._ledger, self._target, self._clock, self._journal
        )
        self._handler = AgentHandler(self._runner, self)
        self._codec = messages.codec(*calls.ALL, *dispatch_calls.ALL)
        self._times = timings.Timings()
        self._agent_links = agent_links.AgentLinks(
            self._handler, self._codec, self._journal, settings.tls
        )
        self._runtime = runtime or _make_runtime(settings)
        self._gangs: gang_service.GangService | None = None
        self._gang_peers: gang_peers.StreamGangPeers | None = None
        self._address = ""
        self._known_entries: set[str] = set()
        self._entry_peers: set[peers.Peer] = set()
        self._drain_acknowledged_by: set[peers.Peer] = set()
        self._drain_acknowledged = signals.ChangeSignal()
        self._group: anyio.abc.TaskGroup | None = None
        self._stopping = anyio.Event()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`stop`, then until the requests in progress have completed."""
        self._journal.record(lines.EventKind.PROCESS_STARTED, worker=self._settings.worker)
        if self._settings.metrics is not None:
            self._journal.metrics.serve(self._settings.metrics.host, self._settings.metrics.port)
        listener = await transports.listen(self._settings.listen, self._settings.tls)
        self._address = str(self._settings.advertise or listener.address)
        try:
            await self._serve(listener, task_status)
        finally:
            with anyio.CancelScope(shield=True):
                await self._target.aclose()
                await self._runtime.close()
        self._journal.record(lines.EventKind.PROCESS_STOPPED, worker=self._settings.worker)

    async def _serve(
        self, listener: transports.Listener, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        async with anyio.create_task_group() as group:
            self._group = group
            self._gangs = self._make_gang_service(group)
            group.start_soon(listener.serve, self._serve_peer)
            group.start_soon(self._agent_links.run)
            group.start_soon(gang_events.GangEvents(self._ledger, self._journal).run)
            self.add_entries(tuple(str(address) for address in self._settings.entries))
            task_status.started()
            await self._stopping.wait()
            await self._shut_down()
            group.cancel_scope.cancel()

    def stop(self) -> None:
        """Drain the worker, and terminate once the work in progress has completed."""
        self._journal.record(lines.EventKind.PROCESS_STOPPING, worker=self._settings.worker)
        self.drain()
        self._stopping.set()

    def drain(self) -> None:
        """Refuse new work from now on and report that to every entry."""
        self._ledger.drain()
        self._journal.record(lines.EventKind.WORKER_DRAINING, worker=self._settings.worker)

    def newest_events(self, limit: int) -> messages.EventLines:
        """Return the newest events of this process as lines."""
        events = self._journal.newest(limit)
        return messages.EventLines(tuple(lines.to_line(event) for event in events))

    def add_entries(self, addresses: tuple[str, ...]) -> None:
        """Open a stream to each new entry, with one asynchronous task each.

        :param addresses: ``ip:port`` of the entries.
        """
        if self._group is None:
            return
        for address in addresses:
            if address in self._known_entries:
                continue
            try:
                parsed_address = transports.Address.parse(address)
            except transports.AddressError as error:
                self._journal.record(
                    lines.EventKind.RECORD_REFUSED, code=error.code, detail=error.detail
                )
                continue
            self._known_entries.add(address)
            self._group.start_soon(self._maintain_entry_stream, parsed_address)

    def report(self) -> workers.WorkerReport:
        """Return the current state of the worker."""
        return workers.WorkerReport(
            identity=self._settings.identity,
            capacity=self._settings.capacity,
            sequence=self._ledger.changes.sequence,
            busy_slots=self._ledger.slots.busy,
            draining=self._ledger.draining,
            gangs=self._ledger.uses(),
            agent_address=self._address,
        )

    async def answer_gang(self, message: object) -> object:
        """Return the answer to a gang message of an entry or another agent.

        :raises ProtocolError: if it is not a gang message.
        """
        if self._gangs is None:
            raise errors.PeerError("the agent is not running")
        return await self._gangs.answer(message)

    def _make_gang_service(self, group: anyio.abc.TaskGroup) -> gang_service.GangService:
        worker = self._settings.worker
        stream_peers = gang_peers.StreamGangPeers(worker, self._agent_links, self._times)
        runner = gang_peers.PlatformTaskRunner(self._runtime)
        gangs = agents.GangAgent(
            self._ledger, runner, stream_peers, self._clock, group, self._times
        )
        self._gang_peers = stream_peers
        stream_peers.service = gang_service.GangService(gangs, self._agent_links)
        return stream_peers.service

    async def _serve_peer(self, stream: anyio.abc.ByteStream) -> None:
        await peers.Peer(stream, self._codec, self._handler, self._journal.hybrid_clock).run()

    async def _maintain_entry_stream(self, address: transports.Address) -> None:
        backoff_s = RECONNECT_BACKOFF_MIN_S
        while True:
            try:
                stream = await transports.connect(address, self._settings.tls)
                backoff_s = RECONNECT_BACKOFF_MIN_S
                await self._run_entry_stream(stream)
                self._journal.record(lines.EventKind.PEER_LOST, detail=f"entry {address}")
            except errors.PapayasparError as error:
                self._journal.record(
                    lines.EventKind.PEER_LOST, code=error.code, detail=f"entry {address}"
                )
            await anyio.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, RECONNECT_BACKOFF_MAX_S)

    async def _run_entry_stream(self, stream: anyio.abc.ByteStream) -> None:
        hybrid_clock = self._journal.hybrid_clock
        async with peers.connected(stream, self._codec, self._handler, hybrid_clock) as peer:
            sent_sequence = self._ledger.changes.sequence
            reply = await peer.call(
                messages.Hello(self.report(), self.rules.revision), HELLO_TIMEOUT_S
            )
            welcome = messages.expect(reply, messages.Welcome)
            self._journal.record(lines.EventKind.PEER_CONNECTED, detail=welcome.process)
            self.add_entries(welcome.entries)
            self._entry_peers.add(peer)
            try:
                await self._report_changes(peer, sent_sequence)
            finally:
                self._entry_peers.discard(peer)
                self._drain_acknowledged_by.discard(peer)
                self._drain_acknowledged.notify()

    async def _report_changes(self, peer: peers.Peer, sent_sequence: int) -> None:
        while True:
            sent_sequence = await self._ledger.changes.wait_for_change(sent_sequence)
            await self._send_report(peer)
            await anyio.sleep(REPORT_INTERVAL_MIN_S)

    async def _send_report(self, peer: peers.Peer) -> None:
        """Send the state of the worker; the entry must acknowledge the first draining report."""
        report = messages.Report(self.report())
        if not report.report.draining or peer in self._drain_acknowledged_by:
            await peer.notify(report)
            return
        messages.expect(await peer.call(report, HELLO_TIMEOUT_S), messages.ReportTaken)
        self._drain_acknowledged_by.add(peer)
        self._drain_acknowledged.notify()

    async def _wait_drain_acknowledged(self) -> None:
        """Wait until every connected entry has acknowledged a draining report."""
        seen_sequence = 0
        while self._entry_peers - self._drain_acknowledged_by:
            seen_sequence = await self._drain_acknowledged.wait_for_change(seen_sequence)

    async def _shut_down(self) -> None:
        with anyio.move_on_after(self._settings.grace_s):
            # Wait for the entries to receive the draining report before the streams close.
            with anyio.move_on_after(DRAIN_ACKNOWLEDGE_TIMEOUT_S):
                await self._wait_drain_acknowledged()
            # Refuse requests that entries sent before they received that report.
            await anyio.sleep(LATE_REQUESTS_WAIT_S)
            await self._preempt_gangs()
            await self._runner.wait_idle()
            await self._wait_replies_received()
            await self._wait_no_gangs()
        with anyio.move_on_after(HAND_OVER_TIMEOUT_S):
            await self.claims.wait_handed_over()
            await self._wait_handover_received()

    async def _wait_replies_received(self) -> None:
        """Wait until the entries have received the replies to all requests that have completed.

        A request is complete when the target has answered; its reply may not have been sent yet.
        """
        async with anyio.create_task_group() as group:
            for peer in self._entry_peers:
                group.start_soon(self._wait_peer_received, peer)

    async def _wait_peer_received(self, peer: peers.Peer) -> None:
        await peer.wait_replied()
        await self._wait_sent_received(peer)

    async def _wait_handover_received(self) -> None:
        """Wait until the entries have received the claims of the shards that were handed over."""
        async with anyio.create_task_group() as group:
            for peer in self._entry_peers:
                group.start_soon(self._wait_sent_received, peer)

    async def _wait_sent_received(self, peer: peers.Peer) -> None:
        """Wait until an entry has received what was sent to it before."""
        try:
            # The entry reads frames in order, so its answer shows that it has the earlier ones.
            await peer.call(messages.Report(self.report()), HELLO_TIMEOUT_S)
        except errors.PapayasparError as error:
            self._journal.record(lines.EventKind.PEER_LOST, code=error.code)

    async def _preempt_gangs(self) -> None:
        """Preempt stoppable gangs, which save checkpoints and are restarted on other workers."""
        for use in self._ledger.uses():
            if not use.stoppable or self._gang_peers is None:
                continue
            give_way = gang_messages.GiveWay(claims.Fence(use.job_id, use.attempt))
            try:
                await self._gang_peers.preempt(use.lead_worker, give_way)
            except errors.PapayasparError as error:
                self._journal.record(
                    lines.EventKind.PEER_LOST, code=error.code, detail=use.lead_worker
                )

    async def _wait_no_gangs(self) -> None:
        changes = self._ledger.changes
        while self._ledger.uses():
            await changes.wait_for_change(changes.sequence)


def _make_runtime(settings: config.AgentConfig) -> runtimes.Runtime:
    if settings.runtime is None:
        return gang_peers.NoRuntime()
    return http_runtimes.HttpRuntime(str(settings.runtime))
