"""Messages between the lead and an agent."""

import attrs

from papayaspar_jobs import specs, tasks
from papayaspar_runs import workers
from papayaspar_store import records
from papayaspar_wire import codecs, failures


@attrs.frozen
class Attach:
    """First call of a lead on its stream to an agent.

    :param epoch: fencing token of the leadership.
    :param token: fencing token for orders to the worker; higher at each attachment.
    :param lead: name of the lead.
    """

    epoch: int
    token: int
    lead: str


@attrs.frozen
class AgentState:
    """State of an agent's worker: the answer to ``Attach``, and a notice after each change.

    :param node: name of the agent's VM.
    :param heartbeat: newest heartbeat of the worker, or ``None`` before the first.
    :param incarnation: current incarnation of the worker, or ``None`` while it is unknown.
    :param is_answering: whether the worker answers polls and has confirmed the newest token.
    :param has_lapsed: whether the lease has certainly expired since the worker last answered.
    :param runs: running tasks of the worker.
    :param ends: results that the lead has not acknowledged yet.
    :param has_more_ends: whether the worker may have more results than ``ends``; a run that is not
        listed may be among them.
    :param departure: last departure of a worker on this VM, or ``None``.
    :param sequence: number of the state within the agent's process; a later state has a higher one.
    """

    node: str
    heartbeat: workers.Heartbeat | None = None
    incarnation: tasks.Incarnation | None = None
    is_answering: bool = False
    has_lapsed: bool = False
    runs: tuple[workers.RunStatus, ...] = ()
    ends: tuple[workers.RunResult, ...] = ()
    departure: records.Departure | None = None
    sequence: int = 0
    has_more_ends: bool = False

    def has_more_than_progress(self, previous: "AgentState") -> bool:
        """Return whether this state differs from an earlier one in more than the runs' progress.

        :param previous: the state that the same agent reported before.
        """
        if self.ends and self.ends != previous.ends:
            return True
        if (self.incarnation, self.departure) != (previous.incarnation, previous.departure):
            return True
        if self.is_answering != previous.is_answering or self.has_lapsed != previous.has_lapsed:
            return True
        if self.heartbeat is None or previous.heartbeat is None:
            return self.heartbeat is not previous.heartbeat
        if previous.heartbeat.has_changes(self.heartbeat):
            return True
        return _run_numbers(self.runs) != _run_numbers(previous.runs)


def _run_numbers(runs: tuple[workers.RunStatus, ...]) -> set[tuple[tasks.TaskKey, int]]:
    return {(run_status.task, run_status.run) for run_status in runs}


@attrs.frozen
class StartRun:
    """Order to start a run.

    :param task: the task.
    :param run: number of the run.
    :param payload: opaque text of the job.
    :param checkpoint: checkpoint to resume from, or empty.
    :param room: resources that the task uses.
    :param incarnation: incarnation of the worker that may execute the order.
    """

    task: tasks.TaskKey
    run: int
    payload: str
    checkpoint: str
    room: specs.Resources
    incarnation: tasks.Incarnation

    def for_worker(self, expiry_ms: int, token: int) -> workers.StartOrder:
        """Return the order in the form that the worker's client sends.

        :param expiry_ms: time after which the worker refuses it, on the worker's clock.
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
    """Answer to ``StartRun``, sent only when the outcome is certain.

    :param is_started: whether the run started.
    :param reason: reason of the refusal, or ``None``.
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
    """Answer to ``StopRun``: the worker accepted the order; the end of the run follows later."""


@attrs.frozen
class AcknowledgeEnds:
    """Acknowledgement that all results up to a number are stored.

    :param incarnation: incarnation of the worker that reported them.
    :param number: the highest acknowledged number.
    """

    incarnation: tasks.Incarnation
    number: int


@attrs.frozen
class Vouch:
    """Request of an agent to its lead to confirm the leadership, which renews the lead's lease.

    :param node: name of the agent's VM.
    :param data_centre: data centre of the agent's worker, or empty if it is unknown.
    """

    node: str
    data_centre: str = ""


@attrs.frozen
class Vouched:
    """Answer to ``Vouch``: the lead's lease was valid when it answered.

    :param start_lease_ms: time for which the agent may start runs, in milliseconds from its
        ``Vouch``; ``None`` for no limit.
    """

    start_lease_ms: int | None = None


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
