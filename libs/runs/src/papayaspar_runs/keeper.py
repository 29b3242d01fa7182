"""The keeper of one worker: the only one that orders it, and that renews its lease."""

import anyio

from papayaspar_events import journal, lines
from papayaspar_jobs import tasks
from papayaspar_model import clock, errors, signals
from papayaspar_runs import lease, messages, table, workers
from papayaspar_store import records

# How long a worker may hold a look back for a new end (protocol page: at most 2,000 ms).
LOOK_WAIT_MS = 1000
# A worker on the same machine answers in milliseconds; without an answer a call is given up.
CALL_TIMEOUT_S = 0.8
# A start that arrives later than this is refused by the worker, in milliseconds.
START_EXPIRY_MS = 1500
# Tries of one start: with those without an answer a gang is still whole within its bound.
START_TRIES = 3
RETRY_S = 0.1
# While ends wait to be recorded, looks go on at this pace, in seconds, to renew the lease.
UNACKNOWLEDGED_PAUSE_S = 0.25
# A lead's tokens are so far apart, so that an agent can raise its own in between.
TOKEN_STRIDE = 64
# Time for the first confirmation of a token before a worker is reported as not answering.
ATTACH_TIMEOUT_S = 1.0


class Keeper:
    """Keeps one worker for whichever lead holds the duty.

    :param node: name of this machine.
    :param worker: the worker's client.
    :param lease_max_s: longest lease that the worker grants, on its own clock.
    :param source: clock that counts suspension.
    :param events: where decisions are recorded.
    """

    def __init__(
        self,
        node: str,
        worker: workers.Worker,
        lease_max_s: float,
        source: clock.Clock,
        events: journal.Journal,
    ) -> None:
        self._node = node
        self._worker = worker
        self._events = events
        self._lease = lease.Lease(lease_max_s, source, events)
        self._table = table.RunTable()
        self._heartbeat: workers.Heartbeat | None = None
        self._born_ms: int | None = None
        self._token = 0
        self._confirmed_token = 0
        self._seen_end = 0
        self._look_number = 0
        self._is_answering = False
        self._deregistered: tasks.Incarnation | None = None
        self.departure: records.Departure | None = None
        self.departures = signals.ChangeSignal()
        self.changes = signals.ChangeSignal()
        self._looked = signals.ChangeSignal()
        self._hurry = signals.ChangeSignal()

    @property
    def _incarnation(self) -> tasks.Incarnation | None:
        """The present life, once heartbeat and looks are known to speak of the same one."""
        if self._heartbeat is None or self._heartbeat.born_ms != self._born_ms:
            return None
        return tasks.Incarnation(self._heartbeat.worker, self._heartbeat.born_ms)

    def state(self) -> messages.AgentState:
        """Return what is known of the worker."""
        return messages.AgentState(
            node=self._node,
            heartbeat=self._heartbeat,
            incarnation=self._incarnation,
            is_answering=self._is_answering and self._confirmed_token >= self._token,
            has_lapsed=not self._is_answering and self._lease.has_run_out,
            runs=self._table.rows(),
            ends=self._table.ends,
            departure=self.departure,
        )

    def take_heartbeat(self, heartbeat: workers.Heartbeat) -> None:
        """Take in what the worker says of itself; late ones of a former life are passed over."""
        known = self._heartbeat
        if known is not None:
            is_same_life = known.worker == heartbeat.worker and known.born_ms == heartbeat.born_ms
            if is_same_life and heartbeat.sequence <= known.sequence:
                return
            is_answering = heartbeat.born_ms == self._born_ms
            if not is_same_life and heartbeat.born_ms < known.born_ms and not is_answering:
                # Delayed from a former life; a worker whose clock went back answers looks itself.
                return
        self._heartbeat = heartbeat
        if known is None or known.has_news(heartbeat):
            kind = lines.EventKind.WORKER_JOINED
            if heartbeat.condition is workers.Condition.DRAINING:
                kind = lines.EventKind.WORKER_DRAINING
            self._events.record(
                kind,
                worker=heartbeat.worker,
                detail=f"born_ms={heartbeat.born_ms} rack={heartbeat.rack}"
                f" remaining_ms={heartbeat.remaining_ms}",
            )
            self._looked.changed()
            self.changes.changed()

    def take_deregistration(self, worker: str) -> None:
        """Take in that the worker ends; it has ended once it does not answer any more.

        :param worker: its id; one that did not say before that it drains is passed over, as the
            word of a former life under the same id.
        """
        known = self._heartbeat
        is_draining = known is not None and known.condition is workers.Condition.DRAINING
        if known is None or known.worker != worker or not is_draining:
            self._events.record(lines.EventKind.RECORD_REFUSED, worker=worker, detail="not leaving")
            return
        self._deregistered = tasks.Incarnation(known.worker, known.born_ms)
        self._hurry.changed()

    def _note_departure(self) -> None:
        """Note that the worker, which does not answer, has ended if it said that it would."""
        left = self._deregistered
        if left is None or left != self._incarnation:
            return
        self._deregistered = None
        done = tuple(
            records.DoneRun(end.task, end.run)
            for end in self._table.ends
            if end.kind is tasks.EndKind.DONE
        )
        self.departure = records.Departure(left, done)
        self._events.record(
            lines.EventKind.WORKER_LEFT,
            worker=left.worker,
            detail=f"born_ms={left.born_ms} runs={len(self._table.rows())} done={len(done)}",
        )
        self.departures.changed()
        self.changes.changed()

    async def attach(self, token: int) -> messages.AgentState:
        """Serve under a new token and return the state that the worker confirmed under it."""
        if token > self._token:
            self._token = token
            self._hurry.changed()
        with anyio.move_on_after(ATTACH_TIMEOUT_S):
            seen = 0
            while not self.state().is_answering or self._incarnation is None:
                seen = await self._looked.wait_beyond(seen)
        return self.state()

    def vouched(self, asked_s: float) -> None:
        """Note that a lead held the duty when it was asked at a time on this machine's clock."""
        self._lease.vouch(asked_s)
        if not self._lease.is_renewing:
            self._hurry.changed()

    def acknowledge(self, incarnation: tasks.Incarnation, number: int) -> None:
        """Note that ends up to a number are recorded."""
        if incarnation != self._incarnation or number <= self._seen_end:
            return
        self._seen_end = number
        self._hurry.changed()

    async def start(self, order: messages.StartRun) -> messages.StartOutcome:
        """Start a run; returns only when it is certain whether it began."""
        reason = self._obstacle(order)
        if reason is not None:
            return messages.StartOutcome(False, reason)
        self._table.begin(order.task, order.run, order.room, self._look_number)
        try:
            reason = await self._order_start(order)
        except anyio.get_cancelled_exc_class():
            # The lead's stream has ended; a look under the next token shows whether it began.
            self._table.abandon(order.task, order.run, self._look_number)
            raise
        if reason is None:
            self._table.started(order.task, order.run, self._look_number)
            self._events.record(
                lines.EventKind.TASK_STARTED,
                job=order.task.job_id,
                attempt=order.run,
                detail=f"task={order.task} token={self._token}",
            )
            return messages.StartOutcome(True)
        self._table.not_started(order.task, order.run)
        self._events.record(
            lines.EventKind.TASK_REFUSED,
            job=order.task.job_id,
            attempt=order.run,
            code=reason.value,
            detail=f"task={order.task} token={self._token}",
        )
        return messages.StartOutcome(False, reason)

    def _obstacle(self, order: messages.StartRun) -> workers.RefusalReason | None:
        if not self._lease.is_vouched:
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
        """Send the order until it is certain; return why it did not begin, or ``None``."""
        reason = workers.RefusalReason.TOKEN
        for _ in range(START_TRIES):
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
                outcome = await self._resolve(order)
                if outcome is not workers.RefusalReason.UNREACHABLE:
                    return outcome
                # It certainly did not begin, and can't any more: the same run may be ordered again.
                reason = outcome
                continue
            return None
        return reason

    async def _resolve(self, order: messages.StartRun) -> workers.RefusalReason | None:
        """Find out what became of a start without an answer: raise the token, then look."""
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
                look = await self._worker.look(
                    token, self._seen_end, None, 0, order.incarnation.worker
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
                await anyio.sleep(RETRY_S)
                continue
            if self._table.has_begun(order.task, order.run, look):
                return None
            if look.born_ms != order.incarnation.born_ms:
                # A new life under the same id answers; it has confirmed the raised token.
                return workers.RefusalReason.INCARNATION
            return workers.RefusalReason.UNREACHABLE
        return workers.RefusalReason.INCARNATION

    async def stop(self, task: tasks.TaskKey, run: int) -> None:
        """Stop a run; returns once the worker has taken the order or lives no more."""
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
            await anyio.sleep(RETRY_S)

    async def run(self) -> None:
        """Look at the worker, one look after the other, until cancelled."""
        while True:
            if self._token == 0:
                await self._hurry.wait_beyond(self._hurry.sequence)
                continue
            hurry = self._hurry.sequence
            is_good = await self._look_or_hurry(hurry)
            if is_good and not self._table.ends:
                continue
            # A worker answers at once while ends wait for their acknowledgement.
            with anyio.move_on_after(UNACKNOWLEDGED_PAUSE_S if is_good else RETRY_S):
                await self._hurry.wait_beyond(hurry)

    async def _look_or_hurry(self, hurry: int) -> bool:
        """Look once; a new token or a first vouching cuts a waiting look short."""
        results: list[bool] = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._look_into, results, group.cancel_scope)
            await self._hurry.wait_beyond(hurry)
            group.cancel_scope.cancel()
        return results[0] if results else True

    async def _look_into(self, results: list[bool], scope: anyio.CancelScope) -> None:
        results.append(await self._look())
        scope.cancel()

    async def _look(self) -> bool:
        self._look_number += 1
        number, token = self._look_number, self._token
        expiry_ms = self._lease.renew(self._is_answering)
        is_settled = self._confirmed_token == token and self._lease.is_clock_known
        wait_ms = LOOK_WAIT_MS if is_settled and not self._table.ends else 0
        worker = self._heartbeat.worker if self._heartbeat is not None else ""
        try:
            look = await self._worker.look(token, self._seen_end, expiry_ms, wait_ms, worker)
        except workers.OrderRefusedError as error:
            self._note_refused(error, token)
            return False
        except workers.WorkerError as error:
            self._note_silent(error)
            self._note_departure()
            return False
        self._take_look(look, number, token)
        return True

    def _note_refused(self, error: workers.OrderRefusedError, token: int) -> None:
        if error.reason is workers.RefusalReason.INCARNATION:
            # Another life answers; its id comes with its next heartbeat.
            self._heartbeat = None
            self._begin_life(None)
            return
        if error.reason is workers.RefusalReason.TOKEN and token == self._token:
            # An earlier process on this machine had raised the token further.
            self._token += TOKEN_STRIDE
            return
        self._note_silent(error)

    def _note_silent(self, error: errors.PapayasparError) -> None:
        if self._is_answering:
            self._events.record(
                lines.EventKind.WORKER_LOST,
                worker=self._heartbeat.worker if self._heartbeat is not None else "",
                code=error.code,
                detail=error.detail,
            )
            self._is_answering = False
            self.changes.changed()
            return
        if self.state().has_lapsed:
            self.changes.changed()

    def _take_look(self, look: workers.Look, number: int, token: int) -> None:
        if self._born_ms != look.born_ms:
            is_first = self._born_ms is None
            self._begin_life(look.born_ms)
            if not is_first:
                # Orders for the former life that are carried out late must find a higher token.
                self._token += 1
        self._lease.set_worker_clock(look.clock_ms)
        was_ready = self.state().is_answering
        self._confirmed_token = max(self._confirmed_token, token)
        self._is_answering = True
        has_changed = self._table.take(look, number)
        self._looked.changed()
        if has_changed or not was_ready:
            self.changes.changed()

    def _begin_life(self, born_ms: int | None) -> None:
        if self._born_ms is not None:
            self._events.record(
                lines.EventKind.WORKER_REPLACED, detail=f"born_ms={self._born_ms} now={born_ms}"
            )
            self._seen_end = 0
            self._table.forget_life(self._look_number)
            self._is_answering = False
        self._born_ms = born_ms
        self._lease.set_worker_clock(None)
        self.changes.changed()
