"""The lead's streams to agents: one task for each agent, which dials it until it is dropped."""

import abc

import anyio

from papayaspar_events import journal, lines
from papayaspar_jobs import tasks
from papayaspar_model import causality, clock, errors
from papayaspar_runs import lease, messages, service, workers
from papayaspar_scheduling import fleet
from papayaspar_store import records
from papayaspar_wire import peers, transports

ATTACH_TIMEOUT_S = 3.0
STOP_TIMEOUT_S = 3.0
# A start is certain at the latest when the worker's lease has run out.
START_TIMEOUT_S = 10.0
REDIAL_FIRST_S = 0.1
REDIAL_MAX_S = 0.5
# Lapses are taken to be so much later than computed, in seconds, for timers that fire late.
LAPSE_SLACK_S = 0.3
# An agent that is away is expected back for so long, in seconds: a process that was killed starts
# again after half a second, needs 0.8 s to listen, and is dialled within `REDIAL_MAX_S`.
EXPECT_BACK_S = 2.0
# An agent that refused a start knows more than the lead: it gets none for so long, in seconds, two
# plans for what only time brings (`duty.PLAN_INTERVAL_S`).
REFUSAL_PAUSE_S = 0.5


def lapse_s(vouched_s: float, lease_max_s: float) -> float:
    """Return when a worker's lease must have run out after an agent was vouched for.

    :param vouched_s: the latest time of that.
    :param lease_max_s: longest lease a worker grants.
    :return: a time on the clock of ``vouched_s``.
    """
    return vouched_s + lease.ORPHAN_S + lease_max_s * lease.CLOCK_DRIFT_RATIO + LAPSE_SLACK_S


class LinkOwner(abc.ABC):
    """What a link tells the lead."""

    @abc.abstractmethod
    def next_token(self) -> int:
        """Return a fencing token above all that were given."""

    @abc.abstractmethod
    def may_vouch(self) -> bool:
        """Return whether the lead certainly held the duty a moment ago."""

    @abc.abstractmethod
    def state_changed(self, link: "AgentLink", told: messages.AgentState) -> None:
        """Take in what an agent knows of its worker."""

    @abc.abstractmethod
    def link_lost(self, link: "AgentLink") -> None:
        """Note that an agent can't be reached for now."""

    @abc.abstractmethod
    def deposed(self, reason: str) -> None:
        """Note that an agent serves a lead with a higher epoch."""


class AgentLink(peers.Handler):
    """The lead's link to one agent.

    :param record: where the agent listens.
    :param owner: the lead.
    :param epoch: fencing token of the duty.
    :param lead: name of the lead.
    :param lease_max_s: longest lease a worker grants.
    :param vouched_s: latest time a lead may have vouched for the agent, on the lead's clock.
    """

    def __init__(
        self,
        record: records.AgentRecord,
        owner: LinkOwner,
        epoch: int,
        lead: str,
        lease_max_s: float,
        vouched_s: float,
        source: clock.Clock,
        stamps: causality.HybridClock,
        events: journal.Journal,
    ) -> None:
        self.record = record
        self.seat = fleet.Worker(record.node)
        self.state: messages.AgentState | None = None
        self.acknowledged: dict[tasks.Incarnation, int] = {}
        self._owner = owner
        self._epoch = epoch
        self._lead = lead
        self._lease_max_s = lease_max_s
        self._vouched_s = vouched_s
        self._clock = source
        self._stamps = stamps
        self._events = events
        self._peer: peers.Peer | None = None
        self._redial = anyio.Event()
        self._scope = anyio.CancelScope()
        self.away_since_s = source.now_s()
        self._refused_s = float("-inf")

    @property
    def node(self) -> str:
        """The agent's machine."""
        return self.record.node

    @property
    def is_attached(self) -> bool:
        """Whether the agent takes orders now."""
        return self._peer is not None

    def note_refusal(self) -> None:
        """Note that the agent refused a start for what the lead does not see."""
        self._refused_s = self._clock.now_s()

    def has_refused_lately(self, now_s: float) -> bool:
        """Return whether the agent should get no start for a moment.

        :param now_s: the lead's clock.
        """
        return now_s - self._refused_s < REFUSAL_PAUSE_S

    def is_expected_back(self, now_s: float) -> bool:
        """Return whether the agent went away a moment ago and its worker is not about to leave.

        :param now_s: the lead's clock.
        """
        if self.is_attached or now_s - self.away_since_s > EXPECT_BACK_S:
            return False
        heartbeat = self.state.heartbeat if self.state is not None else None
        return heartbeat is None or heartbeat.condition is workers.Condition.READY

    @property
    def incarnation(self) -> tasks.Incarnation | None:
        """The worker's present life, if the agent knows it."""
        return self.state.incarnation if self.state is not None else None

    def lapse_s(self) -> float:
        """Return when the worker's lease must have run out unless the agent is vouched for again.

        :return: a time on the lead's clock.
        """
        return lapse_s(self._vouched_s, self._lease_max_s)

    def relocate(self, record: records.AgentRecord) -> None:
        """Take in a new record of the agent and dial it at once."""
        if record == self.record:
            return
        self.record = record
        self._redial.set()

    async def run(self) -> None:
        """Dial, serve, and dial again, until cancelled or told to :meth:`abandon`."""
        with self._scope:
            await self._dial_forever()

    def abandon(self) -> None:
        """Dial no more."""
        self._scope.cancel()

    async def _dial_forever(self) -> None:
        pause_s = REDIAL_FIRST_S
        while True:
            began_s = self._clock.now_s()
            try:
                await self._serve()
            except errors.LeaseLostError as error:
                self._owner.deposed(error.detail)
            except errors.PapayasparError as error:
                self._note_lost(error)
            if self._clock.now_s() - began_s > REDIAL_MAX_S:
                pause_s = REDIAL_FIRST_S
            self._redial = anyio.Event()
            with anyio.move_on_after(pause_s):
                await self._redial.wait()
            pause_s = min(REDIAL_MAX_S, pause_s * 2)

    async def _serve(self) -> None:
        stream = await transports.connect(transports.Address.parse(self.record.address))
        codec = messages.codec()
        try:
            async with peers.connected(
                stream, codec, self, self._stamps, service.PEER_LIMITS
            ) as peer:
                attach = messages.Attach(self._epoch, self._owner.next_token(), self._lead)
                state = await peer.call(attach, ATTACH_TIMEOUT_S)
                if not isinstance(state, messages.AgentState):
                    raise errors.ProtocolError("not an agent's state")
                self._peer = peer
                self._events.record(
                    lines.EventKind.AGENT_ATTACHED,
                    worker=self.node,
                    detail=f"token={attach.token} answering={state.is_answering}"
                    f" runs={len(state.runs)} ends={len(state.ends)}",
                )
                self._take(state)
                await anyio.sleep_forever()
        finally:
            was_attached = self._peer is not None
            self._peer = None
            if was_attached:
                self.away_since_s = self._clock.now_s()
                self._events.record(lines.EventKind.AGENT_LOST, worker=self.node)
                self._owner.link_lost(self)

    def _note_lost(self, error: errors.PapayasparError) -> None:
        self._events.record(
            lines.EventKind.PEER_LOST, worker=self.node, code=error.code, detail=error.detail
        )

    async def call(self, peer: peers.Peer, message: object) -> object:
        """Answer whether this lead still holds the duty."""
        if not isinstance(message, messages.Vouch):
            raise errors.ProtocolError(f"no call {type(message).__name__}")
        if not self._owner.may_vouch():
            raise errors.LeaseLostError("the duty was not confirmed lately")
        self._vouched_s = self._clock.now_s()
        return messages.Vouched()

    async def notice(self, peer: peers.Peer, message: object) -> None:
        """Take the agent's reports."""
        if isinstance(message, messages.AgentState) and peer is self._peer:
            self._take(message)

    def _take(self, state: messages.AgentState) -> None:
        self.state = state
        heartbeat = state.heartbeat
        if heartbeat is not None:
            self.seat.pool = heartbeat.pool
            self.seat.capacity = heartbeat.capacity
            self.seat.labels = frozenset(heartbeat.labels)
            self.seat.rack = heartbeat.rack
        self.seat.incarnation = state.incarnation
        is_ready = heartbeat is not None and heartbeat.condition is workers.Condition.READY
        self.seat.is_open = is_ready and state.is_answering and state.incarnation is not None
        self._owner.state_changed(self, state)

    async def start(self, order: messages.StartRun) -> messages.StartOutcome:
        """Order a start.

        :raises PeerError: when it is not known whether the run began.
        """
        reply = await self._open_peer().call(order, START_TIMEOUT_S)
        if not isinstance(reply, messages.StartOutcome):
            raise errors.ProtocolError("not the outcome of a start")
        return reply

    async def stop(self, task: tasks.TaskKey, run: int) -> None:
        """Order a stop.

        :raises PeerError: when it is not known whether the worker was told.
        """
        await self._open_peer().call(messages.StopRun(task, run), STOP_TIMEOUT_S)

    async def acknowledge(self, incarnation: tasks.Incarnation, number: int) -> None:
        """Say that ends up to a number are recorded.

        :raises PeerError: when the stream is lost.
        """
        await self._open_peer().notify(messages.AcknowledgeEnds(incarnation, number))

    def drop(self) -> None:
        """Close the stream, so that the agent's state is read anew."""
        if self._peer is not None:
            self._peer.close()

    def _open_peer(self) -> peers.Peer:
        if self._peer is None:
            raise errors.PeerError("the agent is not attached")
        return self._peer
