"""The interface of an agent to its worker, and the state that the worker reports."""

import abc
import enum

import attrs

from papayaspar_jobs import specs, tasks
from papayaspar_model import errors


class WorkerError(errors.PapayasparError):
    """A call to the worker failed; ``ran`` indicates whether it may have been executed."""

    code = "worker_unavailable"
    status = 503
    title = "The worker did not answer"


class NotListeningError(WorkerError):
    """No process listens on the worker's port, so its VM refused the connection."""

    code = "worker_not_listening"
    title = "The worker does not listen"


class RefusalReason(enum.Enum):
    """Reason for which a worker, or its agent, refused an order.

    ``TOKEN``: the worker has confirmed a higher fencing token. ``OLD_RUN``: the worker has another
    or a newer run of the task. ``LATE``: the order arrived after its expiry. ``ROOM``: the free
    resources do not suffice. ``UNHEALTHY``: the worker can't accept orders now. ``INCARNATION``:
    the order is for another incarnation. ``INVALID``: the worker does not accept the order's
    content. ``ADVICE``: the worker requires a ticket from an advice call for this queue, which the
    agent never makes. ``UNREACHABLE``: the worker does not answer its agent. ``NOT_VOUCHED``: the
    lead's lease at the agent has expired. ``DRAINING``: the worker is draining.
    ``WITHDRAWN``: the lead ordered a stop of the run before it had started. ``NO_START_LEASE``: the
    time is over for which the lead allowed starts, or it allows none.
    """

    TOKEN = "token"
    OLD_RUN = "old_run"
    LATE = "late"
    ROOM = "room"
    UNHEALTHY = "unhealthy"
    INCARNATION = "incarnation"
    INVALID = "invalid"
    ADVICE = "advice"
    UNREACHABLE = "unreachable"
    NOT_VOUCHED = "not_vouched"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"
    NO_START_LEASE = "no_start_lease"


class OrderRefusedError(errors.PapayasparError):
    """The worker refused an order and did not execute any of it.

    :param reason: reason of the refusal.
    """

    code = "order_refused"
    status = 409
    title = "The worker refused the order"

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(f"the worker refused the order: {reason.value}")
        self.reason = reason


class Condition(enum.Enum):
    """Whether a worker accepts new work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Heartbeat:
    """Heartbeat of a worker.

    :param worker: id of the worker.
    :param pool: pool that the worker belongs to.
    :param condition: whether the worker accepts new work.
    :param capacity: total resources of the worker.
    :param labels: labels of the worker.
    :param rack: rack of the worker, or empty.
    :param sequence: number of the heartbeat within this incarnation.
    :param born_ms: start of the worker, in milliseconds since the Unix epoch.
    :param clock_ms: monotonic clock of the worker; ``None`` if not reported.
    :param remaining_ms: minimum time until a draining worker terminates; ``None`` if not reported.
    :param data_centre: data centre of the worker, or empty if not reported.
    :param cold_remaining_ms: time until the worker has warmed up after its start, in milliseconds;
        0 if it is warm.
    """

    worker: str
    pool: str
    condition: Condition
    capacity: specs.Resources
    labels: tuple[str, ...]
    rack: str
    sequence: int
    born_ms: int
    clock_ms: int | None = None
    remaining_ms: int | None = None
    data_centre: str = ""
    cold_remaining_ms: int = 0

    def is_older_than(self, newest: "Heartbeat", polled_born_ms: int | None) -> bool:
        """Return whether this is a delayed or repeated heartbeat, also of a former incarnation.

        :param newest: the newest heartbeat so far.
        :param polled_born_ms: start of the incarnation that answers polls, or ``None``. A new
            incarnation whose clock was set back has an earlier start time, but answers polls with
            it.
        """
        if newest.worker == self.worker and newest.born_ms == self.born_ms:
            return self.sequence <= newest.sequence
        return self.born_ms < newest.born_ms and self.born_ms != polled_born_ms

    def has_changes(self, newer: "Heartbeat") -> bool:
        """Return whether a newer heartbeat differs in more than its number and its times.

        That a worker has become cold or warm is a difference.
        """
        if (self.cold_remaining_ms > 0) != (newer.cold_remaining_ms > 0):
            return True
        expected = attrs.evolve(
            self,
            sequence=newer.sequence,
            clock_ms=newer.clock_ms,
            remaining_ms=newer.remaining_ms,
            cold_remaining_ms=newer.cold_remaining_ms,
        )
        return expected != newer


@attrs.frozen
class RunStatus:
    """A run that a worker executes.

    :param task: task of the run.
    :param run: number of the run.
    :param checkpoint: newest checkpoint, or empty.
    :param percent: completed share of the work, 0 to 100.
    :param figure: tail latency in milliseconds of a task that serves requests; else cores in use.
    """

    task: tasks.TaskKey
    run: int
    checkpoint: str = ""
    percent: float = 0.0
    figure: float = 0.0


@attrs.frozen
class RunResult:
    """The result of a run that ended on a worker.

    :param number: number of the result within this incarnation of the worker, from 1.
    :param task: task of the run.
    :param run: number of the run.
    :param kind: kind of the result.
    :param checkpoint: newest checkpoint, or empty.
    """

    number: int
    task: tasks.TaskKey
    run: int
    kind: tasks.EndKind
    checkpoint: str = ""


@attrs.frozen
class WorkerStatus:
    """A worker's answer to a poll.

    :param clock_ms: monotonic clock of the worker.
    :param born_ms: start of the worker, in milliseconds since the Unix epoch.
    :param running: statuses of the running tasks.
    :param ended: results that were not acknowledged yet, the oldest first.
    :param has_more_ends: whether the worker may have more results than it lists: a run that is
        neither in ``running`` nor in ``ended`` may have ended with any result.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunResult, ...]
    has_more_ends: bool = False


@attrs.frozen
class StartOrder:
    """Order to a worker to start a run.

    :param task: the task.
    :param run: number of the run.
    :param payload: opaque text of the job.
    :param checkpoint: checkpoint to resume from, or empty.
    :param expiry_ms: time after which the worker refuses the order, on the worker's clock.
    :param token: fencing token.
    :param worker: id of the incarnation that may execute the order, or empty for any.
    """

    task: tasks.TaskKey
    run: int
    payload: str
    checkpoint: str
    expiry_ms: int
    token: int
    worker: str


class Worker(abc.ABC):
    """A client of the worker on this VM.

    Methods raise :class:`WorkerError` when the worker does not answer, and
    :class:`OrderRefusedError` when it refuses.
    """

    @abc.abstractmethod
    async def start(self, order: StartOrder) -> None:
        """Start a run; a run that has already started continues unchanged."""

    @abc.abstractmethod
    async def stop(self, task: tasks.TaskKey, run: int, token: int, worker: str) -> None:
        """Stop a run, or prevent its start."""

    @abc.abstractmethod
    async def poll(
        self, token: int, acknowledged_number: int, expiry_ms: int | None, wait_ms: int, worker: str
    ) -> WorkerStatus:
        """Confirm a token, renew the lease, acknowledge results, and return runs and results.

        :param token: fencing token.
        :param acknowledged_number: number up to which results are stored; the worker forgets them.
        :param expiry_ms: new expiry of the lease on the worker's clock, or ``None`` to keep it.
        :param wait_ms: longest time that the worker may wait for a new result, in milliseconds.
        :param worker: id of the incarnation that may answer, or empty for any.
        """
