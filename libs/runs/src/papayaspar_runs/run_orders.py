"""Orders of the lead to start and stop runs, executed until their outcome is certain."""

import abc
import enum

import anyio
import attrs

from papayaspar_events import journal, lines
from papayaspar_jobs import specs, tasks
from papayaspar_model import errors
from papayaspar_runs import messages, table, workers

# The worker refuses a start that arrives later than this, in seconds.
START_EXPIRY_S = 1.5
# Maximum number of attempts to start one run, so that a gang starts whole within its time limit
# although some attempts get no answer.
START_ATTEMPTS_MAX = 3
# Maximum number of starts that are sent to the worker at once. The timeout of a call and the expiry
# of a start then measure the worker, not the queue of calls in this process.
STARTS_AT_ONCE_MAX = 16
# Interval between attempts of a call that failed, in seconds.
RETRY_INTERVAL_S = 0.1
# Interval between polls while results wait for their acknowledgement, in seconds: a worker answers
# such polls at once, and polls renew its lease.
UNACKNOWLEDGED_POLL_INTERVAL_S = 0.25


class StartResolution(enum.Enum):
    """What is known about a start that got no answer.

    ``STARTED``: the worker lists the run, or its result. ``NOT_STARTED``: the worker has confirmed
    a newer token and lists neither, so that the run has not started and can't start later.
    ``EXPIRED``: the worker does not tell, and its lease has certainly expired. ``REPLACED``: a new
    incarnation of the worker answers, or its departure was recorded.
    """

    STARTED = "started"
    NOT_STARTED = "not_started"
    EXPIRED = "expired"
    REPLACED = "replaced"


@attrs.define
class PollFailures:
    """Polls that did not show the outcome of a start.

    :param unanswered_count: number of polls without an answer.
    :param refused_count: number of refused polls.
    :param newest_refusal: reason of the newest refusal, or empty.
    """

    unanswered_count: int = 0
    refused_count: int = 0
    newest_refusal: str = ""

    def record_refusal(self, reason: workers.RefusalReason) -> None:
        """Count a refused poll."""
        self.refused_count += 1
        self.newest_refusal = reason.value


class OrderOwner(abc.ABC):
    """State of the worker that decides about orders: the controller of the worker."""

    @property
    @abc.abstractmethod
    def incarnation(self) -> tasks.Incarnation | None:
        """The current incarnation of the worker, or ``None`` while it is unknown."""

    @abc.abstractmethod
    def is_departed(self, incarnation: tasks.Incarnation) -> bool:
        """Return whether the departure of an incarnation of the worker was recorded."""

    @property
    @abc.abstractmethod
    def token(self) -> int:
        """Newest fencing token."""

    @abc.abstractmethod
    def raise_token(self, minimum: int = 0) -> int:
        """Raise the fencing token above its present value, and return it.

        :param minimum: the new token is at least this.
        """

    @property
    @abc.abstractmethod
    def capacity(self) -> specs.Resources:
        """Total resources of the worker."""

    @property
    @abc.abstractmethod
    def has_lapsed(self) -> bool:
        """Whether the lease has certainly expired since the worker last answered."""

    @abc.abstractmethod
    def renew_by_start(self, duration_s: float) -> int:
        """Renew the worker's lease by a start order to send, and return the order's expiry.

        :param duration_s: how long the order is valid, in seconds on the worker's clock.
        :return: a time on the worker's monotonic clock, in milliseconds.
        """

    @property
    @abc.abstractmethod
    def acknowledged_number(self) -> int:
        """Number up to which the lead has stored the worker's results."""

    @property
    @abc.abstractmethod
    def poll_number(self) -> int:
        """Number of the newest poll that was sent."""

    @property
    @abc.abstractmethod
    def is_reachable(self) -> bool:
        """Whether the worker answered the newest poll, and its clock is known."""

    @abc.abstractmethod
    def refusal_reason(self, order: messages.StartRun) -> workers.RefusalReason | None:
        """Return why a run may not be started now, or ``None`` if it may.

        Whether the worker is reachable and has room is not considered.
        """


class RunOrders:
    """Start and stop runs on one worker.

    :param owner: state of the worker.
    :param worker: client of the worker.
    :param run_table: table of the worker's runs.
    :param events: journal of decisions.
    """

    def __init__(
        self,
        owner: OrderOwner,
        worker: workers.Worker,
        run_table: table.RunTable,
        events: journal.Journal,
    ) -> None:
        self._owner = owner
        self._worker = worker
        self._table = run_table
        self._events = events
        self._limiter = anyio.CapacityLimiter(STARTS_AT_ONCE_MAX)
        # Token of the newest start that was sent to the worker.
        self._sent_token = 0

    async def start(self, order: messages.StartRun) -> messages.StartOutcome:
        """Start a run; return only once it is certain whether it started."""
        reason = self._refusal_reason(order)
        if reason is not None:
            return messages.StartOutcome(False, reason)
        self._table.begin_start(order.task, order.run, order.room, self._owner.poll_number)
        try:
            async with self._limiter:
                reason = await self._send_start(order)
        except anyio.get_cancelled_exc_class():
            # The lead's stream ended; a poll under a newer token than that of the order shows
            # whether the run started.
            if self._sent_token == self._owner.token:
                self._owner.raise_token()
            self._table.abandon_start(order.task, order.run, self._owner.poll_number)
            raise
        if reason is None:
            self._table.record_started(order.task, order.run, self._owner.poll_number)
            self._events.record(
                lines.EventKind.TASK_STARTED,
                job=order.task.job_id,
                attempt=order.run,
                detail=f"task={order.task} token={self._owner.token}",
            )
            return messages.StartOutcome(True)
        self._table.record_not_started(order.task, order.run)
        self._events.record(
            lines.EventKind.TASK_REFUSED,
            job=order.task.job_id,
            attempt=order.run,
            code=reason.value,
            detail=f"task={order.task} token={self._owner.token}",
        )
        return messages.StartOutcome(False, reason)

    def _refusal_reason(self, order: messages.StartRun) -> workers.RefusalReason | None:
        reason = self._owner.refusal_reason(order)
        if reason is not None:
            return reason
        if not self._owner.is_reachable:
            return workers.RefusalReason.UNREACHABLE
        if not self._table.fits(order.room, self._owner.capacity):
            return workers.RefusalReason.ROOM
        return None

    async def _send_start(self, order: messages.StartRun) -> workers.RefusalReason | None:
        """Send the order until the outcome is certain; return the reason of a refusal, or ``None``.

        After an attempt without an answer, its outcome is determined before the next attempt. That
        may take seconds, in which the lead may have withdrawn the order, or lost its leadership, or
        the worker may have begun to drain: each attempt is made only if the first one would be.
        None is made once the lease has certainly expired, until the worker has answered again.
        """
        if not self._owner.is_reachable:
            # The worker fell silent while the order waited for those before it.
            return workers.RefusalReason.UNREACHABLE
        reason = workers.RefusalReason.TOKEN
        for _ in range(START_ATTEMPTS_MAX):
            if self._table.is_withdrawn(order.task, order.run):
                return workers.RefusalReason.WITHDRAWN
            new_reason = self._owner.refusal_reason(order)
            if new_reason is not None:
                return new_reason
            if self._owner.has_lapsed:
                # The lead has been told, and nothing would show whether this attempt is executed.
                return workers.RefusalReason.UNREACHABLE
            token = self._sent_token = self._owner.token
            try:
                expiry_ms = self._owner.renew_by_start(START_EXPIRY_S)
                await self._worker.start(order.for_worker(expiry_ms, token))
            except workers.OrderRefusedError as error:
                if error.reason is workers.RefusalReason.TOKEN and token < self._owner.token:
                    continue
                if self._table.is_withdrawn(order.task, order.run):
                    # The stop has overtaken the start.
                    return workers.RefusalReason.WITHDRAWN
                return error.reason
            except workers.WorkerError as error:
                if error.ran is errors.Ran.NO:
                    return workers.RefusalReason.UNREACHABLE
                resolution = await self._resolve_start(order)
                if resolution is StartResolution.STARTED:
                    return None
                if resolution is StartResolution.REPLACED:
                    return workers.RefusalReason.INCARNATION
                reason = workers.RefusalReason.UNREACHABLE
                if resolution is StartResolution.EXPIRED:
                    return reason
                # The run may be ordered again under the same number.
                continue
            return None
        return reason

    async def _resolve_start(self, order: messages.StartRun) -> StartResolution:
        """Determine the outcome of an unanswered start, and record what showed it."""
        token = self._owner.raise_token()
        self._events.record(
            lines.EventKind.TOKEN_RAISED,
            job=order.task.job_id,
            attempt=order.run,
            detail=f"task={order.task} token={token}",
        )
        failures = PollFailures()
        resolution = await self._poll_until_resolved(order, token, failures)
        self._events.record(
            lines.EventKind.START_RESOLVED,
            job=order.task.job_id,
            attempt=order.run,
            code=resolution.value,
            detail=f"task={order.task} token={self._owner.token}"
            f" unanswered={failures.unanswered_count} refused={failures.refused_count}"
            f" refusal={failures.newest_refusal}",
        )
        return resolution

    async def _poll_until_resolved(
        self, order: messages.StartRun, token: int, failures: PollFailures
    ) -> StartResolution:
        """Poll the worker under a raised token until the outcome of a start is certain.

        That another incarnation is known does not end this: a start that is executed late may reach
        it before it has confirmed the token, if it keeps the id.
        """
        while not self._owner.is_departed(order.incarnation):
            try:
                status = await self._worker.poll(
                    token, self._owner.acknowledged_number, None, 0, order.incarnation.worker
                )
            except workers.OrderRefusedError as error:
                failures.record_refusal(error.reason)
                if error.reason is workers.RefusalReason.INCARNATION:
                    return StartResolution.REPLACED
                if error.reason is workers.RefusalReason.TOKEN:
                    token = self._owner.raise_token(token + 1)
                    continue
                # A worker that refuses for any other reason says nothing about its runs.
            except workers.WorkerError:
                failures.unanswered_count += 1
            else:
                resolution = self._resolution(order, status)
                if resolution is not None:
                    return resolution
                # The run may have ended: the worker lists its result once the lead has acknowledged
                # those before it.
                await anyio.sleep(UNACKNOWLEDGED_POLL_INTERVAL_S)
                continue
            if self._owner.has_lapsed:
                return StartResolution.EXPIRED
            await anyio.sleep(RETRY_INTERVAL_S)
        return StartResolution.REPLACED

    def _resolution(
        self, order: messages.StartRun, status: workers.WorkerStatus
    ) -> StartResolution | None:
        """Return what a worker's status shows of a start, or ``None`` if nothing is certain."""
        has_started = self._table.has_started(order.task, order.run, status)
        if has_started:
            return StartResolution.STARTED
        if status.born_ms != order.incarnation.born_ms:
            # A new incarnation with the same id answers; it has confirmed the raised token.
            return StartResolution.REPLACED
        if has_started is None:
            return None
        return StartResolution.NOT_STARTED

    async def stop(self, task: tasks.TaskKey, run: int) -> None:
        """Stop a run; return once the worker has accepted the order or has lost the run.

        A start of the run that is in progress is not attempted again.

        :raises OrderRefusedError: when the worker does not accept the order's content.
        :raises WorkerError: when it is unknown which incarnation of the worker has the run.
        """
        self._table.withdraw(task, run)
        incarnation = self._owner.incarnation
        while incarnation is not None and incarnation == self._owner.incarnation:
            try:
                await self._worker.stop(task, run, self._owner.token, incarnation.worker)
            except workers.OrderRefusedError as error:
                if error.reason is workers.RefusalReason.INCARNATION:
                    return
                if error.reason is workers.RefusalReason.INVALID:
                    raise
            except workers.WorkerError:
                if self._owner.has_lapsed:
                    return
            else:
                self._events.record(
                    lines.EventKind.TASK_STOPPED,
                    job=task.job_id,
                    attempt=run,
                    detail=f"task={task} token={self._owner.token}",
                )
                return
            await anyio.sleep(RETRY_INTERVAL_S)
        if self._owner.incarnation is None:
            raise workers.WorkerError("the worker's incarnation is unknown", ran=errors.Ran.UNKNOWN)

    async def stop_all(
        self, statuses: tuple[workers.RunStatus, ...], token: int, worker: str
    ) -> None:
        """Stop the runs of a worker that answers although its departure was recorded.

        :param statuses: runs that the worker lists.
        :param token: fencing token of the poll that listed them.
        :param worker: id of the worker.
        """
        for status in statuses:
            try:
                await self._worker.stop(status.task, status.run, token, worker)
            except errors.PapayasparError:
                # The next poll lists the run again, unless it has ended.
                continue
            self._events.record(
                lines.EventKind.TASK_STOPPED,
                worker=worker,
                job=status.task.job_id,
                attempt=status.run,
                detail=f"task={status.task} token={token} the worker had departed",
            )
