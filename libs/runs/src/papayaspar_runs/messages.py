"""Messages between the lead and an agent."""

import attrs

from papayaspar_jobs import specs, tasks
from papayaspar_runs import workers
from papayaspar_store import records
from papayaspar_wire import codecs, failures


@attrs.frozen
class Attach:
    """The lead's first call.

    :param epoch: fencing token of the scheduling duty.
    :param token: fencing token for the worker's orders; higher at each attachment.
    :param lead: name of the lead.
    """

    epoch: int
    token: int
    lead: str


@attrs.frozen
class AgentState:
    """What an agent knows of its worker; the answer to ``Attach``, and a notice at changes.

    :param node: the agent's machine.
    :param heartbeat: what the worker said of itself, or ``None`` before it did.
    :param incarnation: the worker's present life, or ``None`` before it is known.
    :param is_answering: whether the worker confirmed the newest token.
    :param has_lapsed: whether the lease must have run out since the worker last answered.
    :param runs: its runs.
    :param ends: ends that were not acknowledged.
    :param departure: the worker that left last, or ``None``.
    """

    node: str
    heartbeat: workers.Heartbeat | None = None
    incarnation: tasks.Incarnation | None = None
    is_answering: bool = False
    has_lapsed: bool = False
    runs: tuple[workers.RunningRow, ...] = ()
    ends: tuple[workers.EndRow, ...] = ()
    departure: records.Departure | None = None


@attrs.frozen
class StartRun:
    """Order to start a run.

    :param task: the task.
    :param run: number of the run.
    :param payload: the job's opaque text.
    :param checkpoint: where to go on, or empty.
    :param room: what the task takes.
    :param incarnation: the life of the worker that it is meant for.
    """

    task: tasks.TaskKey
    run: int
    payload: str
    checkpoint: str
    room: specs.Room
    incarnation: tasks.Incarnation

    def for_worker(self, expiry_ms: int, token: int) -> workers.StartOrder:
        """Return the order to the worker.

        :param expiry_ms: when the worker refuses it, on the worker's clock.
        :param token: fencing token.
        """
        return workers.StartOrder(
            self.task,
            self.run,
            self.payload,
            self.checkpoint,
            expiry_ms,
            token,
            self.incarnation.worker,
        )


@attrs.frozen
class StartOutcome:
    """Answer to ``StartRun``, given only when it is certain.

    :param is_started: whether the run began.
    :param reason: why not, or ``None``.
    """

    is_started: bool
    reason: workers.RefusalReason | None = None


@attrs.frozen
class StopRun:
    """Order to stop a run.

    :param task: the task.
    :param run: number of the run.
    """

    task: tasks.TaskKey
    run: int


@attrs.frozen
class Stopped:
    """Answer to ``StopRun``: the worker has taken the order; the end is reported when listed."""


@attrs.frozen
class AcknowledgeEnds:
    """Ends up to a number are recorded.

    :param incarnation: the life of the worker.
    :param number: the highest number.
    """

    incarnation: tasks.Incarnation
    number: int


@attrs.frozen
class Vouch:
    """An agent asks whether its lead still holds the duty.

    :param node: the agent's machine.
    """

    node: str


@attrs.frozen
class Vouched:
    """The lead held the duty when it answered."""


MESSAGE_TYPES = (
    Attach,
    AgentState,
    StartRun,
    StartOutcome,
    StopRun,
    Stopped,
    AcknowledgeEnds,
    Vouch,
    Vouched,
    failures.Failure,
)


def codec() -> codecs.Codec:
    """Return the codec of the streams between lead and agents."""
    return codecs.Codec(MESSAGE_TYPES)
