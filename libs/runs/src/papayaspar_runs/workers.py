"""What an agent asks of its worker, and what the worker says of itself."""

import abc
import enum

import attrs

from papayaspar_jobs import specs, tasks
from papayaspar_model import errors


class WorkerError(errors.PapayasparError):
    """A call to the worker failed; ``ran`` says whether it may have acted."""

    code = "worker_unavailable"
    status = 503
    title = "The worker did not answer"


class RefusalReason(enum.Enum):
    """Why a worker refused an order."""

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


class OrderRefusedError(errors.PapayasparError):
    """The worker refused an order and did nothing.

    :param reason: why.
    """

    code = "order_refused"
    status = 409
    title = "The worker refused the order"

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Condition(enum.Enum):
    """Whether a worker takes work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Heartbeat:
    """What a worker said of itself.

    :param worker: its id.
    :param pool: pool that it belongs to.
    :param condition: whether it takes work.
    :param capacity: its room.
    :param labels: its labels.
    :param rack: its rack, or empty.
    :param sequence: number of the heartbeat within this life.
    :param born_ms: its start, in milliseconds since the Unix epoch; 0 if it did not say.
    :param clock_ms: its steady clock; ``None`` if it did not say.
    :param remaining_ms: least time that is left while it drains; ``None`` if it did not say.
    """

    worker: str
    pool: str
    condition: Condition
    capacity: specs.Room
    labels: tuple[str, ...]
    rack: str
    sequence: int
    born_ms: int
    clock_ms: int | None = None
    remaining_ms: int | None = None

    def has_news(self, newer: "Heartbeat") -> bool:
        """Return whether a newer heartbeat says more than that the worker lives."""
        known = attrs.evolve(
            self,
            sequence=newer.sequence,
            clock_ms=newer.clock_ms,
            remaining_ms=newer.remaining_ms,
        )
        return known != newer


@attrs.frozen
class RunningRow:
    """A run on the worker.

    :param task: its task.
    :param run: its number.
    :param checkpoint: its newest checkpoint, or empty.
    :param percent: how much of it is done, 0 to 100.
    :param figure: tail latency in milliseconds of a task that serves; else cores in use.
    """

    task: tasks.TaskKey
    run: int
    checkpoint: str = ""
    percent: float = 0.0
    figure: float = 0.0


@attrs.frozen
class EndRow:
    """An end of a run on the worker.

    :param number: its number in this life of the worker, from 1.
    :param task: its task.
    :param run: number of the run.
    :param kind: how it ended.
    :param checkpoint: newest checkpoint, or empty.
    """

    number: int
    task: tasks.TaskKey
    run: int
    kind: tasks.EndKind
    checkpoint: str = ""


@attrs.frozen
class Look:
    """A worker's answer to a look at its runs.

    :param clock_ms: its steady clock.
    :param born_ms: its start, in milliseconds since the Unix epoch; 0 if it did not say.
    :param running: its runs.
    :param ended: ends that were not acknowledged yet.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndRow, ...]


@attrs.frozen
class StartOrder:
    """An order to start a run.

    :param task: the task.
    :param run: number of the run.
    :param payload: the job's opaque text.
    :param checkpoint: where to go on, or empty.
    :param expiry_ms: the order is refused after this, on the worker's clock.
    :param token: fencing token.
    :param worker: id of the life it is meant for, or empty for any.
    """

    task: tasks.TaskKey
    run: int
    payload: str
    checkpoint: str
    expiry_ms: int
    token: int
    worker: str


class Worker(abc.ABC):
    """A client of the worker on this machine.

    Methods raise :class:`WorkerError` without an answer, and :class:`OrderRefusedError`.
    """

    @abc.abstractmethod
    async def start(self, order: StartOrder) -> None:
        """Start a run; a run that is there already is left as it is."""

    @abc.abstractmethod
    async def stop(self, task: tasks.TaskKey, run: int, token: int, worker: str) -> None:
        """Stop a run, or see that it never starts."""

    @abc.abstractmethod
    async def look(
        self, token: int, seen_end: int, expiry_ms: int | None, wait_ms: int, worker: str
    ) -> Look:
        """Confirm a token, renew the lease, acknowledge ends, and return what runs and ended.

        :param token: fencing token.
        :param seen_end: ends up to this number are forgotten.
        :param expiry_ms: new end of the lease on the worker's clock, or ``None`` to leave it.
        :param wait_ms: how long the worker may wait for a new end.
        :param worker: id of the life it is meant for, or empty for any.
        """
