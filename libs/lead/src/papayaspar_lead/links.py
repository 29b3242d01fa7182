"""The lead's links to agents: one asynchronous task per agent dials it and serves the stream."""

import abc

import anyio

from papayaspar_events import journal, lines
from papayaspar_jobs import tasks
from papayaspar_model import causality, clock, errors
from papayaspar_runs import lease, messages, service, workers
from papayaspar_scheduling import fleet, warmup
from papayaspar_store import records
from papayaspar_wire import peers, transports

MILLISECONDS_PER_SECOND = 1000.0
ATTACH_TIMEOUT_S = 3.0
STOP_TIMEOUT_S = 3.0
# An agent answers a start order once the outcome is certain: in general when the worker answers, or
# when its lease has expired.
START_TIMEOUT_S = 10.0
REDIAL_BACKOFF_MIN_S = 0.1
REDIAL_BACKOFF_MAX_S = 0.5
# Margin added to the computed expiry of a worker's lease, in seconds, for timers that fire late.
EXPIRY_SLACK_S = 0.3
# A disconnected agent is expected to reconnect within this time, in seconds: a killed process is
# restarted after half a second, needs 0.8 s to listen, and is dialled within
# `REDIAL_BACKOFF_MAX_S`.
RECONNECT_TIMEOUT_S = 2.0
# After a refusal an agent is sent no start for this time, in seconds, since the cause is not
# visible to the lead: twice the planning interval (`scheduling.PLAN_INTERVAL_S`).
REFUSAL_PAUSE_S = 0.5


def worker_lease_expiry_s(lead_confirmed_s: float, lease_max_s: float) -> float:
    """Return when a worker's lease has certainly expired if no lead confirms its leadership again.

    :param lead_confirmed_s: latest time at which a lead confirmed its leadership to the agent.
    :param lease_max_s: longest lease a worker grants, in seconds.
    :return: a time on the clock of ``lead_confirmed_s``.
    """
    return (
        lead_confirmed_s
        + lease.AGENT_LEAD_LEASE_S
        + lease_max_s * lease.CLOCK_DRIFT_RATIO
        + EXPIRY_SLACK_S
    )


class LinkOwner(abc.ABC):
    """Receiver of a link's callbacks: the lead's scheduler."""

    @abc.abstractmethod
    def next_token(self) -> int:
        """Return a fencing token above all that were issued."""

    @abc.abstractmethod
    def is_lead_lease_valid(self) -> bool:
        """Return whether the store confirmed the leadership recently enough to send orders."""

    @abc.abstractmethod
    def start_lease_s(self, data_centre: str) -> float | None:
        """Return for how long work may start in a data centre, or ``None`` for no limit.

        :param data_centre: name of the data centre, or empty if it is unknown.
        """

    @abc.abstractmethod
    def handle_state(
        self,
        link: "AgentLink",
        reported: messages.AgentState,
        previous: messages.AgentState | None = None,
    ) -> None:
        """Apply the state that an agent reports for its worker.

        :param link: the link to the agent.
        :param reported: the state.
        :param previous: the state that the agent reported before on the same stream, or ``None``.
        """

    @abc.abstractmethod
    def handle_link_lost(self, link: "AgentLink") -> None:
        """Handle the loss of the stream to an agent."""

    @abc.abstractmethod
    def handle_superseded(self, reason: str) -> None:
        """Handle an agent's report that it serves a lead with a higher epoch."""


class AgentLink(peers.Handler):
    """The lead's link to one agent.

    :param record: the agent's record with its address.
    :param owner: receiver of the link's callbacks.
    :param epoch: fencing token of the leadership.
    :param lead: name of the lead.
    :param lease_max_s: longest lease a worker grants, in seconds.
    :param lead_confirmed_s: latest time at which a lead may have confirmed its leadership to the
        agent, on the lead's clock.
    """

    def __init__(
        self,
        record: records.AgentRecord,
        owner: LinkOwner,
        epoch: int,
        lead: str,
        lease_max_s: float,
        lead_confirmed_s: float,
        clock_source: clock.Clock,
        hybrid_clock: causality.HybridClock,
        events: journal.Journal,
    ) -> None:
        self.record = record
        self.worker = fleet.Worker(record.node)
        self.warm_up = warmup.WarmUp()
        self.state: messages.AgentState | None = None
        # Incarnation of the worker that has the runs in `state`; the incarnation in `state` becomes
        # unknown before the runs do.
        self.listed_incarnation: tasks.Incarnation | None = None
        self.acknowledged: dict[tasks.Incarnation, int] = {}
        self._owner = owner
        self._epoch = epoch
        self._lead = lead
        self._lease_max_s = lease_max_s
        self._lead_confirmed_s = lead_confirmed_s
        self._clock = clock_source
        self._hybrid_clock = hybrid_clock
        self._events = events
        self._peer: peers.Peer | None = None
        # Stream of which the attachment is not complete, and the newest report received on it.
        self._attaching_peer: peers.Peer | None = None
        self._early_report: messages.AgentState | None = None
        self._redial = anyio.Event()
        self._scope = anyio.CancelScope()
        self.disconnected_since_s = clock_source.now_s()
        self._last_refusal_s = float("-inf")

    @property
    def node(self) -> str:
        """Name of the agent's VM."""
        return self.record.node

    @property
    def is_attached(self) -> bool:
        """Whether the agent is attached and accepts orders."""
        return self._peer is not None

    def record_refusal(self) -> None:
        """Record that the agent refused a start for a reason that the lead can't see."""
        self._last_refusal_s = self._clock.now_s()

    def has_refused_recently(self, now_s: float) -> bool:
        """Return whether the agent refused a start within ``REFUSAL_PAUSE_S``.

        :param now_s: the lead's clock.
        """
        return now_s - self._last_refusal_s < REFUSAL_PAUSE_S

    def is_reconnect_expected(self, now_s: float) -> bool:
        """Return whether the agent disconnected recently and its worker is not draining.

        :param now_s: the lead's clock.
        """
        if self.is_attached or now_s - self.disconnected_since_s > RECONNECT_TIMEOUT_S:
            return False
        heartbeat = self.state.heartbeat if self.state is not None else None
        return heartbeat is None or heartbeat.condition is workers.Condition.READY

    @property
    def is_worker_draining(self) -> bool:
        """Whether the worker has announced that it will terminate."""
        heartbeat = self.state.heartbeat if self.state is not None else None
        return heartbeat is not None and heartbeat.condition is workers.Condition.DRAINING

    @property
    def incarnation(self) -> tasks.Incarnation | None:
        """The worker's current incarnation, or ``None`` if it is unknown."""
        return self.state.incarnation if self.state is not None else None

    def worker_lease_expiry_s(self) -> float:
        """Return when the worker's lease has certainly expired unless the lead's lease is renewed.

        :return: a time on the lead's clock.
        """
        return worker_lease_expiry_s(self._lead_confirmed_s, self._lease_max_s)

    def update_record(self, record: records.AgentRecord) -> None:
        """Replace the agent's record, and dial its new address at once."""
        if record == self.record:
            return
        self.record = record
        self._redial.set()

    async def run(self) -> None:
        """Dial the agent and serve the stream, and redial after each loss, until cancelled."""
        with self._scope:
            await self._dial_forever()

    def stop_dialling(self) -> None:
        """Close the link and stop dialling the agent."""
        self._scope.cancel()

    async def _dial_forever(self) -> None:
        backoff_s = REDIAL_BACKOFF_MIN_S
        while True:
            started_s = self._clock.now_s()
            try:
                await self._serve()
            except errors.LeaseLostError as error:
                self._owner.handle_superseded(error.detail)
            except errors.PapayasparError as error:
                self._record_connection_error(error)
            if self._clock.now_s() - started_s > REDIAL_BACKOFF_MAX_S:
                backoff_s = REDIAL_BACKOFF_MIN_S
            self._redial = anyio.Event()
            with anyio.move_on_after(backoff_s):
                await self._redial.wait()
            backoff_s = min(REDIAL_BACKOFF_MAX_S, backoff_s * 2)

    async def _serve(self) -> None:
        stream = await transports.connect(transports.Address.parse(self.record.address))
        codec = messages.codec()
        try:
            async with peers.connected(
                stream, codec, self, self._hybrid_clock, service.PEER_LIMITS
            ) as peer:
                attach = messages.Attach(self._epoch, self._owner.next_token(), self._lead)
                state = await self._attach(peer, attach)
                self._peer = peer
                self._events.record(
                    lines.EventKind.AGENT_ATTACHED,
                    worker=self.node,
                    detail=f"token={attach.token} answering={state.is_answering}"
                    f" runs={len(state.runs)} ends={len(state.ends)}",
                )
                self._apply_state(state, None)
                await anyio.sleep_forever()
        finally:
            was_attached = self._peer is not None
            self._peer = self._attaching_peer = None
            if was_attached:
                self.disconnected_since_s = self._clock.now_s()
                self._events.record(lines.EventKind.AGENT_LOST, worker=self.node)
                self._owner.handle_link_lost(self)

    async def _attach(self, peer: peers.Peer, attach: messages.Attach) -> messages.AgentState:
        """Attach to the agent, and return the newest state that it has sent.

        Reports may arrive before this coroutine resumes with the answer. An agent reports only
        changes, so none of them may be dropped.
        """
        self._attaching_peer, self._early_report = peer, None
        state = await peer.call(attach, ATTACH_TIMEOUT_S)
        if not isinstance(state, messages.AgentState):
            raise errors.ProtocolError(f"AgentState expected, not {type(state).__name__}")
        report, self._attaching_peer = self._early_report, None
        if report is not None and report.sequence > state.sequence:
            return report
        return state

    def _record_connection_error(self, error: errors.PapayasparError) -> None:
        self._events.record(
            lines.EventKind.PEER_LOST, worker=self.node, code=error.code, detail=error.detail
        )

    async def handle_call(self, peer: peers.Peer, message: object) -> object:
        """Answer an agent's call for a confirmation of the leadership."""
        if not isinstance(message, messages.Vouch):
            raise errors.ProtocolError(f"unexpected call {type(message).__name__}")
        if not self._owner.is_lead_lease_valid():
            raise errors.LeaseLostError("the lead's lease has expired")
        # A former lead may confirm its leadership for longer.
        self._lead_confirmed_s = max(self._lead_confirmed_s, self._clock.now_s())
        start_lease_s = self._owner.start_lease_s(message.data_centre)
        if start_lease_s is None:
            return messages.Vouched()
        return messages.Vouched(int(start_lease_s * MILLISECONDS_PER_SECOND))

    async def handle_notice(self, peer: peers.Peer, message: object) -> None:
        """Apply the state that the agent reports."""
        if not isinstance(message, messages.AgentState):
            return
        if peer is self._attaching_peer:
            self._early_report = message
            return
        if peer is not self._peer:
            self._events.record(
                lines.EventKind.REPORT_DROPPED,
                worker=self.node,
                detail=f"runs={len(message.runs)} ends={len(message.ends)} the stream was replaced",
            )
            return
        self._apply_state(message, self.state)

    def _apply_state(
        self, state: messages.AgentState, previous: messages.AgentState | None
    ) -> None:
        self.state = state
        heartbeat = state.heartbeat
        if heartbeat is not None:
            self.worker.pool = heartbeat.pool
            self.worker.capacity = heartbeat.capacity
            self.worker.labels = frozenset(heartbeat.labels)
            self.worker.rack = heartbeat.rack
            self.worker.data_centre = heartbeat.data_centre
            if previous is None or previous.heartbeat != heartbeat:
                cold_s = heartbeat.cold_remaining_ms / MILLISECONDS_PER_SECOND
                self.warm_up.update(cold_s, self._clock.now_s())
        self.worker.incarnation = state.incarnation
        self.listed_incarnation = state.incarnation or self.listed_incarnation
        is_ready = heartbeat is not None and heartbeat.condition is workers.Condition.READY
        self.worker.is_open = is_ready and state.is_answering and state.incarnation is not None
        self._owner.handle_state(self, state, previous)

    async def start(self, order: messages.StartRun) -> messages.StartOutcome:
        """Order the agent to start a run, and return the outcome.

        :raises PapayasparError: when it is unknown whether the run started.
        """
        reply = await self._open_peer().call(order, START_TIMEOUT_S)
        if not isinstance(reply, messages.StartOutcome):
            raise errors.ProtocolError(f"StartOutcome expected, not {type(reply).__name__}")
        return reply

    async def stop(self, task: tasks.TaskKey, run: int) -> None:
        """Order the agent to stop a run.

        :raises PapayasparError: when it is unknown whether the worker received the order.
        """
        await self._open_peer().call(messages.StopRun(task, run), STOP_TIMEOUT_S)

    async def acknowledge(self, incarnation: tasks.Incarnation, number: int) -> None:
        """Acknowledge results up to a number.

        :raises PeerError: when the stream is lost.
        """
        await self._open_peer().notify(messages.AcknowledgeEnds(incarnation, number))

    def disconnect(self) -> None:
        """Close the stream, so that the agent's state is read again at the next attachment."""
        if self._peer is not None:
            self._peer.close()

    def _open_peer(self) -> peers.Peer:
        if self._peer is None:
            raise errors.PeerError("the agent is not attached")
        return self._peer
