"""The agent's control of one worker; nothing else sends it orders or renews its lease."""

import anyio

from papayaspar_events import journal, lines
from papayaspar_jobs import tasks
from papayaspar_model import clock, errors, signals
from papayaspar_runs import lease, messages, table, workers
from papayaspar_store import records

# Maximum time that a worker holds a poll while it has no new result (worker API: at most 2,000 ms).
POLL_WAIT_MS = 1000
# Timeout of calls to the worker, in seconds; a worker on the same VM answers within milliseconds.
CALL_TIMEOUT_S = 0.8
# The worker refuses a start that arrives later than this, in milliseconds.
START_EXPIRY_MS = 1500
# Maximum number of attempts to start one run, so that a gang starts whole within its time limit
# although some attempts get no answer.
START_ATTEMPTS_MAX = 3
# Interval between attempts of a call that failed, in seconds.
RETRY_INTERVAL_S = 0.1
# Interval between polls while results wait for their acknowledgement, in seconds: a worker answers
# such polls at once, and polls renew its lease.
UNACKNOWLEDGED_POLL_INTERVAL_S = 0.25
# Distance between the tokens of two attachments; an agent raises its own token in the gap.
TOKEN_STRIDE = 64
# Number of consecutive polls that must be refused by the worker's VM before the worker counts as
# terminated.
REFUSED_POLLS_MIN = 2
# A worker is reported as not answering when it has not confirmed a new token within this time, in
# seconds.
ATTACH_TIMEOUT_S = 1.0


class WorkerController:
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
        self._deregistered: tasks.Incarnation | None = None
        self.departure: records.Departure | None = None
        self.departure_changes = signals.ChangeSignal()
        self.changes = signals.ChangeSignal()
        self._polled = signals.ChangeSignal()
        self._wakeup = signals.ChangeSignal()

    @property
    def _incarnation(self) -> tasks.Incarnation | None:
        """The current incarnation, or ``None``.

        It is ``None`` unless the newest heartbeat and poll agree on it, and after its departure.
        """
        if self._heartbeat is None or self._heartbeat.born_ms != self._born_ms:
            return None
        incarnation = tasks.Incarnation(self._heartbeat.worker, self._heartbeat.born_ms)
        return None if self._has_departed(incarnation) else incarnation

    def _has_departed(self, incarnation: tasks.Incarnation) -> bool:
        return self.departure is not None and self.departure.incarnation == incarnation

    def state(self) -> messages.AgentState:
        """Return the state of the worker to report to the lead."""
        return messages.AgentState(
            node=self._node,
            heartbeat=self._heartbeat,
            incarnation=self._incarnation,
            is_answering=self._is_answering and self._confirmed_token >= self._token,
            has_lapsed=not self._is_answering and self._lease.has_expired,
            runs=self._table.statuses(),
            ends=self._table.ends,
            has_more_ends=self._table.has_more_ends,
            departure=self.departure,
        )

    def handle_heartbeat(self, heartbeat: workers.Heartbeat) -> None:
        """Apply a heartbeat; delayed heartbeats, also of a former incarnation, are ignored."""
        previous = self._heartbeat
        if previous is not None:
            is_same_incarnation = (
                previous.worker == heartbeat.worker and previous.born_ms == heartbeat.born_ms
            )
            if is_same_incarnation and heartbeat.sequence <= previous.sequence:
                return
            is_polled_incarnation = heartbeat.born_ms == self._born_ms
            if (
                not is_same_incarnation
                and heartbeat.born_ms < previous.born_ms
                and not is_polled_incarnation
            ):
                # A delayed heartbeat of a former incarnation. A new incarnation whose clock was set
                # back also has an earlier start time, but answers polls with it.
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

        The worker counts as terminated once it stops answering.

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
        self._deregistered = tasks.Incarnation(heartbeat.worker, heartbeat.born_ms)
        self._wakeup.notify()

    def _record_departure(self) -> None:
        """Record the departure of a worker that does not answer and has certainly terminated.

        Either it had deregistered, or its VM refuses connections: no process listens on its port,
        and a worker that starts again there is a new incarnation without runs.
        """
        departed = self._incarnation
        if departed is None:
            return
        if departed != self._deregistered and self._refused_polls < REFUSED_POLLS_MIN:
            return
        self._deregistered = None
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
        if token > self._token:
            self._token = token
            self._wakeup.notify()
        with anyio.move_on_after(ATTACH_TIMEOUT_S):
            seen_sequence = 0
            while not self.state().is_answering or self._incarnation is None:
                seen_sequence = await self._polled.wait_for_change(seen_sequence)
        return self.state()

    def renew_lead_lease(self, requested_s: float) -> None:
        """Renew the lead's lease.

        :param requested_s: when the lead was asked to confirm its leadership, on this VM's clock.
        """
        self._lease.renew_lead_lease(requested_s)
        if not self._lease.is_renewing:
            self._wakeup.notify()

    def acknowledge(self, incarnation: tasks.Incarnation, number: int) -> None:
        """Record that the lead has stored the results up to a number."""
        if incarnation != self._incarnation or number <= self._acknowledged_number:
            return
        self._acknowledged_number = number
        self._wakeup.notify()

    async def start(self, order: messages.StartRun) -> messages.StartOutcome:
        """Start a run; return only once it is certain whether it started."""
        reason = self._refusal_reason(order)
        if reason is not None:
            return messages.StartOutcome(False, reason)
        self._table.begin_start(order.task, order.run, order.room, self._poll_number)
        try:
            reason = await self._order_start(order)
        except anyio.get_cancelled_exc_class():
            # The lead's stream ended; a poll under the next token shows whether the run started.
            self._table.abandon_start(order.task, order.run, self._poll_number)
            raise
        if reason is None:
            self._table.record_started(order.task, order.run, self._poll_number)
            self._events.record(
                lines.EventKind.TASK_STARTED,
                job=order.task.job_id,
                attempt=order.run,
                detail=f"task={order.task} token={self._token}",
            )
            return messages.StartOutcome(True)
        self._table.record_not_started(order.task, order.run)
        self._events.record(
            lines.EventKind.TASK_REFUSED,
            job=order.task.job_id,
            attempt=order.run,
            code=reason.value,
            detail=f"task={order.task} token={self._token}",
        )
        return messages.StartOutcome(False, reason)

    def _refusal_reason(self, order: messages.StartRun) -> workers.RefusalReason | None:
        if not self._lease.is_lead_lease_valid:
            return workers.RefusalReason.NOT_VOUCHED
        if order.incarnation != self._incarnation or self._heartbeat is None:
            return workers.RefusalReason.INCARNATION
        if self._heartbeat.condition is workers.Condition.DRAINING:
            return workers.RefusalReason.DRAINING
        if not self._is_answering or not self._lease.is_clock_known:
            return workers.RefusalReason.UNREACHABLE
        if not self._table.fits(order.room, self._heartbeat.capacity):
            return workers.RefusalReason.ROOM
        return None

    async def _order_start(self, order: messages.StartRun) -> workers.RefusalReason | None:
        """Send the order until the outcome is certain; return the reason of a refusal, or ``None``.

        After an attempt without an answer, its outcome is determined before the next attempt.
        """
        reason = workers.RefusalReason.TOKEN
        for _ in range(START_ATTEMPTS_MAX):
            if order.incarnation != self._incarnation:
                return workers.RefusalReason.INCARNATION
            token = self._token
            try:
                expiry_ms = self._lease.worker_clock_ms + START_EXPIRY_MS
                await self._worker.start(order.for_worker(expiry_ms, token))
            except workers.OrderRefusedError as error:
                if error.reason is workers.RefusalReason.TOKEN and token < self._token:
                    continue
                return error.reason
            except workers.WorkerError as error:
                if error.ran is errors.Ran.NO:
                    return workers.RefusalReason.UNREACHABLE
                outcome = await self._resolve_start(order)
                if outcome is not workers.RefusalReason.UNREACHABLE:
                    return outcome
                # The run has certainly not started, and the raised token prevents a late start, so
                # that it may be ordered again under the same number.
                reason = outcome
                continue
            return None
        return reason

    async def _resolve_start(self, order: messages.StartRun) -> workers.RefusalReason | None:
        """Determine the outcome of an unanswered start: raise the token, then poll the worker."""
        self._token += 1
        token = self._token
        self._events.record(
            lines.EventKind.TOKEN_RAISED,
            job=order.task.job_id,
            attempt=order.run,
            detail=f"task={order.task} token={token}",
        )
        while order.incarnation == self._incarnation:
            try:
                status = await self._worker.poll(
                    token, self._acknowledged_number, None, 0, order.incarnation.worker
                )
            except workers.OrderRefusedError as error:
                if error.reason is not workers.RefusalReason.TOKEN:
                    return workers.RefusalReason.INCARNATION
                token = max(token + 1, self._token)
                self._token = token
                continue
            except workers.WorkerError:
                if self.state().has_lapsed:
                    return workers.RefusalReason.UNREACHABLE
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            has_started = self._table.has_started(order.task, order.run, status)
            if has_started:
                return None
            if status.born_ms != order.incarnation.born_ms:
                # A new incarnation with the same id answers; it has confirmed the raised token.
                return workers.RefusalReason.INCARNATION
            if has_started is not None:
                return workers.RefusalReason.UNREACHABLE
            # The run may have ended: the worker lists its result once the lead has acknowledged
            # those before it.
            await anyio.sleep(UNACKNOWLEDGED_POLL_INTERVAL_S)
        return workers.RefusalReason.INCARNATION

    async def stop(self, task: tasks.TaskKey, run: int) -> None:
        """Stop a run; return once the worker has accepted the order or has lost the run."""
        incarnation = self._incarnation
        while incarnation is not None and incarnation == self._incarnation:
            try:
                await self._worker.stop(task, run, self._token, incarnation.worker)
            except workers.OrderRefusedError as error:
                if error.reason is workers.RefusalReason.INCARNATION:
                    return
            except workers.WorkerError:
                if self.state().has_lapsed:
                    return
            else:
                self._events.record(
                    lines.EventKind.TASK_STOPPED,
                    job=task.job_id,
                    attempt=run,
                    detail=f"task={task} token={self._token}",
                )
                return
            await anyio.sleep(RETRY_INTERVAL_S)

    async def run(self) -> None:
        """Poll the worker in a loop until cancelled."""
        while True:
            if self._token == 0:
                await self._wakeup.wait_for_change(self._wakeup.sequence)
                continue
            seen_wakeup = self._wakeup.sequence
            has_answered = await self._poll_until_wakeup(seen_wakeup)
            if has_answered and not self._table.ends:
                continue
            # A worker does not hold polls while results wait for their acknowledgement.
            with anyio.move_on_after(
                UNACKNOWLEDGED_POLL_INTERVAL_S if has_answered else RETRY_INTERVAL_S
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
        expiry_ms = self._lease.renew(self._is_answering)
        is_synchronized = self._confirmed_token == token and self._lease.is_clock_known
        wait_ms = POLL_WAIT_MS if is_synchronized and not self._table.ends else 0
        worker = self._heartbeat.worker if self._heartbeat is not None else ""
        try:
            status = await self._worker.poll(
                token, self._acknowledged_number, expiry_ms, wait_ms, worker
            )
        except workers.OrderRefusedError as error:
            self._handle_refusal(error, token)
            return False
        except workers.WorkerError as error:
            is_refused = isinstance(error, workers.NotListeningError)
            self._refused_polls = self._refused_polls + 1 if is_refused else 0
            self._handle_no_answer(error)
            self._record_departure()
            return False
        self._refused_polls = 0
        self._apply_status(status, number, token)
        return True

    def _handle_refusal(self, error: workers.OrderRefusedError, token: int) -> None:
        if error.reason is workers.RefusalReason.INCARNATION:
            # Another incarnation refused the poll; its next heartbeat contains its id.
            self._heartbeat = None
            self._begin_incarnation(None)
            return
        if error.reason is workers.RefusalReason.TOKEN and token == self._token:
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
        if self.state().has_lapsed:
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
