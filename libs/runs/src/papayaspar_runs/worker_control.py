"""The agent's control of one worker; nothing else sends it orders or renews its lease."""

import anyio

from papayaspar_events import journal, lines
from papayaspar_jobs import specs, tasks
from papayaspar_model import clock, errors, signals
from papayaspar_runs import lease, messages, run_orders, table, workers
from papayaspar_store import records

# Maximum time that a worker holds a poll while it has no new result (worker API: at most 2,000 ms).
POLL_WAIT_MS = 1000
# Timeout of calls to the worker, in seconds; a worker on the same VM answers within milliseconds.
CALL_TIMEOUT_S = 0.8
# Pause after a poll for each run that the worker listed, in seconds: each poll and each report to
# the lead repeats all of them, so that hundreds of short runs would keep this process busy.
POLL_PAUSE_PER_RUN_S = 0.0001
# Distance between the tokens of two attachments; an agent raises its own token in the gap.
TOKEN_STRIDE = 64
# Number of consecutive polls that must be refused by the worker's VM before the worker counts as
# terminated.
REFUSED_POLLS_MIN = 2
# A worker is reported as not answering when it has not confirmed a new token within this time, in
# seconds.
ATTACH_TIMEOUT_S = 1.0


class WorkerController(run_orders.OrderOwner):
    """Control one worker on behalf of the current lead.

    :param node: name of this VM.
    :param worker: client of the worker.
    :param lease_max_s: longest lease that the worker grants, in seconds on its own clock.
    :param clock_source: clock that also advances while the VM is suspended.
    :param events: journal of decisions.
    """

    def __init__(
        self,
        node: str,
        worker: workers.Worker,
        lease_max_s: float,
        clock_source: clock.Clock,
        events: journal.Journal,
    ) -> None:
        self._node = node
        self._worker = worker
        self._events = events
        self._lease = lease.Lease(lease_max_s, clock_source, events)
        self._table = table.RunTable()
        self._heartbeat: workers.Heartbeat | None = None
        self._born_ms: int | None = None
        self._token = 0
        self._confirmed_token = 0
        self._acknowledged_number = 0
        self._poll_number = 0
        self._is_answering = False
        # Code of the newest recorded failure of a poll, or empty.
        self._failure_code = ""
        self._refused_polls = 0
        self.departure: records.Departure | None = None
        self.departure_changes = signals.ChangeSignal()
        self.changes = signals.ChangeSignal()
        self._polled = signals.ChangeSignal()
        self._wakeup = signals.ChangeSignal()
        # Starts and stops of runs.
        self.orders = run_orders.RunOrders(self, worker, self._table, events)

    @property
    def incarnation(self) -> tasks.Incarnation | None:
        """The current incarnation, or ``None``.

        It is ``None`` unless the newest heartbeat and poll agree on it, and after its departure.
        """
        return None if self._has_departed else self._reported_incarnation

    @property
    def _reported_incarnation(self) -> tasks.Incarnation | None:
        """The incarnation on which the newest heartbeat and poll agree, departed or not."""
        if self._heartbeat is None or self._heartbeat.born_ms != self._born_ms:
            return None
        return tasks.Incarnation(self._heartbeat.worker, self._heartbeat.born_ms)

    @property
    def _has_departed(self) -> bool:
        """Whether the departure of the reported incarnation was recorded."""
        reported = self._reported_incarnation
        return reported is not None and self.is_departed(reported)

    def is_departed(self, incarnation: tasks.Incarnation) -> bool:
        """Return whether the departure of an incarnation of the worker was recorded."""
        return self.departure is not None and self.departure.incarnation == incarnation

    @property
    def token(self) -> int:
        """Newest fencing token."""
        return self._token

    @property
    def capacity(self) -> specs.Resources:
        """Total resources of the worker; none before its first heartbeat."""
        return self._heartbeat.capacity if self._heartbeat is not None else specs.Resources()

    @property
    def data_centre(self) -> str:
        """Data centre of the worker; empty before its first heartbeat."""
        return self._heartbeat.data_centre if self._heartbeat is not None else ""

    @property
    def has_lapsed(self) -> bool:
        """Whether the lease has certainly expired since the worker last answered."""
        return not self._is_answering and self._lease.has_expired

    @property
    def acknowledged_number(self) -> int:
        """Number up to which the lead has stored the worker's results."""
        return self._acknowledged_number

    @property
    def poll_number(self) -> int:
        """Number of the newest poll that was sent."""
        return self._poll_number

    @property
    def is_reachable(self) -> bool:
        """Whether the worker answered the newest poll, and its clock is known."""
        return self._is_answering and self._lease.is_clock_known

    def state(self) -> messages.AgentState:
        """Return the state of the worker to report to the lead."""
        return messages.AgentState(
            node=self._node,
            heartbeat=self._heartbeat,
            incarnation=self.incarnation,
            is_answering=self._is_answering and self._confirmed_token >= self._token,
            has_lapsed=self.has_lapsed,
            runs=self._table.statuses(),
            ends=self._table.ends,
            has_more_ends=self._table.has_more_ends,
            departure=self.departure,
        )

    def handle_heartbeat(self, heartbeat: workers.Heartbeat) -> None:
        """Apply a heartbeat; delayed heartbeats, also of a former incarnation, are ignored."""
        previous = self._heartbeat
        if previous is not None and heartbeat.is_older_than(previous, self._born_ms):
            return
        self._heartbeat = heartbeat
        if previous is None or previous.has_changes(heartbeat):
            kind = lines.EventKind.WORKER_JOINED
            if heartbeat.condition is workers.Condition.DRAINING:
                kind = lines.EventKind.WORKER_DRAINING
            self._events.record(
                kind,
                worker=heartbeat.worker,
                detail=f"born_ms={heartbeat.born_ms} rack={heartbeat.rack}"
                f" remaining_ms={heartbeat.remaining_ms}",
            )
            self._polled.notify()
            self.changes.notify()

    def handle_deregistration(self, worker: str) -> None:
        """Handle a worker's announcement that it terminates.

        The worker is polled at once, and counts as terminated when its VM refuses connections.

        :param worker: id of the worker; ignored if the worker was not draining, since the message
            then comes from a former incarnation with the same id.
        """
        heartbeat = self._heartbeat
        is_draining = heartbeat is not None and heartbeat.condition is workers.Condition.DRAINING
        if heartbeat is None or heartbeat.worker != worker or not is_draining:
            self._events.record(
                lines.EventKind.RECORD_REFUSED, worker=worker, detail="the worker was not draining"
            )
            return
        self._wakeup.notify()

    def _record_departure(self) -> None:
        """Record the departure of a worker that has certainly terminated.

        The agent's own VM refuses connections to it: no process listens on its port, and a worker
        that starts again there is a new incarnation without runs. A worker that has deregistered
        may run on and answer late, so its silence is no evidence.
        """
        departed = self.incarnation
        if departed is None or self._refused_polls < REFUSED_POLLS_MIN:
            return
        done = tuple(
            records.DoneRun(end.task, end.run)
            for end in self._table.ends
            if end.kind is tasks.EndKind.DONE
        )
        self.departure = records.Departure(departed, done)
        self._events.record(
            lines.EventKind.WORKER_LEFT,
            worker=departed.worker,
            detail=f"born_ms={departed.born_ms} runs={len(self._table.statuses())}"
            f" done={len(done)}",
        )
        self.departure_changes.notify()
        self.changes.notify()

    async def attach(self, token: int) -> messages.AgentState:
        """Apply a new token, and return the worker's state.

        The worker gets up to ``ATTACH_TIMEOUT_S`` to confirm the token.
        """
        # The agent may have raised its own token beyond the lead's next one.
        self.raise_token(token)
        self._wakeup.notify()
        with anyio.move_on_after(ATTACH_TIMEOUT_S):
            seen_sequence = 0
            while not self.state().is_answering or self.incarnation is None:
                seen_sequence = await self._polled.wait_for_change(seen_sequence)
        return self.state()

    def renew_lead_lease(self, requested_s: float, start_lease_s: float | None = None) -> None:
        """Renew the lead's lease, and replace the start lease.

        :param requested_s: when the lead was asked to confirm its leadership, on this VM's clock.
        :param start_lease_s: time from then on in which runs may start, in seconds; ``None`` for no
            limit.
        """
        self._lease.renew_lead_lease(requested_s, start_lease_s)
        if not self._lease.is_renewing:
            self._wakeup.notify()

    def acknowledge(self, incarnation: tasks.Incarnation, number: int) -> None:
        """Record that the lead has stored the results up to a number."""
        if incarnation != self.incarnation or number <= self._acknowledged_number:
            return
        self._acknowledged_number = number
        self._wakeup.notify()

    def raise_token(self, minimum: int = 0) -> int:
        """Raise the fencing token above its present value, and return it."""
        self._token = max(self._token + 1, minimum)
        return self._token

    def renew_by_start(self, duration_s: float) -> int:
        """Renew the worker's lease by a start order to send, and return the order's expiry."""
        return self._lease.renew_by_start(duration_s)

    def refusal_reason(self, order: messages.StartRun) -> workers.RefusalReason | None:
        """Return why a run may not be started now, or ``None`` if it may."""
        if not self._lease.is_lead_lease_valid:
            return workers.RefusalReason.NOT_VOUCHED
        if not self._lease.is_start_lease_valid:
            return workers.RefusalReason.NO_START_LEASE
        if order.incarnation != self.incarnation or self._heartbeat is None:
            return workers.RefusalReason.INCARNATION
        if self._heartbeat.condition is workers.Condition.DRAINING:
            return workers.RefusalReason.DRAINING
        return None

    async def run(self) -> None:
        """Poll the worker in a loop until cancelled."""
        while True:
            if self._token == 0:
                await self._wakeup.wait_for_change(self._wakeup.sequence)
                continue
            seen_wakeup = self._wakeup.sequence
            has_answered = await self._poll_until_wakeup(seen_wakeup)
            await anyio.sleep(POLL_PAUSE_PER_RUN_S * self._table.listed_count)
            if has_answered and not self._table.ends:
                continue
            # A worker does not hold polls while results wait for their acknowledgement.
            with anyio.move_on_after(
                run_orders.UNACKNOWLEDGED_POLL_INTERVAL_S
                if has_answered
                else run_orders.RETRY_INTERVAL_S
            ):
                await self._wakeup.wait_for_change(seen_wakeup)

    async def _poll_until_wakeup(self, seen_wakeup: int) -> bool:
        """Poll once; return whether the worker answered or the poll was cancelled.

        A wake-up signal, such as for a new token, cancels a poll that the worker holds.
        """
        results: list[bool] = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._store_poll_result, results, group.cancel_scope)
            await self._wakeup.wait_for_change(seen_wakeup)
            group.cancel_scope.cancel()
        return results[0] if results else True

    async def _store_poll_result(self, results: list[bool], scope: anyio.CancelScope) -> None:
        results.append(await self._poll())
        scope.cancel()

    async def _poll(self) -> bool:
        self._poll_number += 1
        number, token = self._poll_number, self._token
        expiry_ms = self._lease.renew(self._is_answering and not self._has_departed)
        is_synchronized = self._confirmed_token == token and self._lease.is_clock_known
        wait_ms = POLL_WAIT_MS if is_synchronized and not self._table.ends else 0
        heartbeat = self._heartbeat
        worker = heartbeat.worker if heartbeat is not None else ""
        try:
            status = await self._worker.poll(
                token, self._acknowledged_number, expiry_ms, wait_ms, worker
            )
        except workers.OrderRefusedError as error:
            self._refused_polls = 0
            self._handle_refusal(error, token, heartbeat)
            return False
        except workers.WorkerError as error:
            is_refused = isinstance(error, workers.NotListeningError)
            self._refused_polls = self._refused_polls + 1 if is_refused else 0
            self._handle_no_answer(error)
            self._record_departure()
            return False
        self._refused_polls = 0
        self._apply_status(status, number, token)
        if self._has_departed:
            # Its tasks may have been started elsewhere.
            await self.orders.stop_all(self._table.statuses(), token, worker)
        return True

    def _handle_refusal(
        self, error: workers.OrderRefusedError, token: int, polled: workers.Heartbeat | None
    ) -> None:
        """Handle the refusal of a poll.

        :param error: the refusal.
        :param token: token of the poll.
        :param polled: heartbeat with the id that the poll was for, or ``None``.
        """
        if error.reason is workers.RefusalReason.INCARNATION and polled is not None:
            # Another incarnation refused the poll; its next heartbeat contains its id.
            if self._heartbeat is not None and self._heartbeat.worker == polled.worker:
                self._heartbeat = None
                self.changes.notify()
            if polled.born_ms == self._born_ms:
                self._begin_incarnation(None)
            return
        if error.reason is workers.RefusalReason.TOKEN:
            if token == self._token:
                # An earlier agent process on this VM raised the worker's token above this one.
                self._token += TOKEN_STRIDE
            return
        self._handle_no_answer(error)

    def _handle_no_answer(self, error: errors.PapayasparError) -> None:
        if self._is_answering or error.code != self._failure_code:
            self._failure_code = error.code
            self._events.record(
                lines.EventKind.WORKER_LOST,
                worker=self._heartbeat.worker if self._heartbeat is not None else "",
                code=error.code,
                detail=error.detail,
            )
        if self._is_answering:
            self._is_answering = False
            self.changes.notify()
            return
        if self.has_lapsed:
            self.changes.notify()

    def _apply_status(self, status: workers.WorkerStatus, number: int, token: int) -> None:
        if self._born_ms != status.born_ms:
            is_first = self._born_ms is None
            self._begin_incarnation(status.born_ms)
            if not is_first:
                # The raised token makes the worker refuse delayed orders for the former
                # incarnation.
                self._token += 1
        self._lease.set_worker_clock(status.clock_ms)
        was_ready = self.state().is_answering
        self._confirmed_token = max(self._confirmed_token, token)
        self._is_answering = True
        self._failure_code = ""
        has_changed = self._table.apply_status(status, number)
        self._polled.notify()
        if has_changed or not was_ready:
            self.changes.notify()

    def _begin_incarnation(self, born_ms: int | None) -> None:
        if self._born_ms is not None:
            self._events.record(
                lines.EventKind.WORKER_REPLACED, detail=f"born_ms={self._born_ms} now={born_ms}"
            )
            self._acknowledged_number = 0
            self._table.forget_incarnation(self._poll_number)
            self._is_answering = False
        self._born_ms = born_ms
        self._lease.set_worker_clock(None)
        self.changes.notify()
