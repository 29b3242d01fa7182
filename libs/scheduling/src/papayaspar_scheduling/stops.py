"""Why units are stopped, and what for."""

import enum

import attrs


class Cause(enum.Enum):
    """Why a unit is stopped.

    ``RECLAIM``: for a job inside its team's guarantee. ``PREEMPTION``: for another urgent job.
    ``DRAIN``: its worker is about to leave. ``MOVE``: the same, and another worker has room for it.
    ``STALL``: a run has hung. ``CANCEL``: its job was cancelled. ``FAILED_JOB``: its job has no
    attempts left. ``NOT_STARTED``: a member of the gang did not start, or another run of the task
    is listed.
    """

    RECLAIM = "reclaim"
    PREEMPTION = "preemption"
    DRAIN = "drain"
    MOVE = "move"
    STALL = "stall"
    CANCEL = "cancel"
    FAILED_JOB = "failed_job"
    NOT_STARTED = "not_started"


@attrs.frozen
class Purpose:
    """What a unit is stopped for.

    :param cause: cause of the stop.
    :param job_id: job that needs the room, or empty.
    :param gain_core_s: work of that job that gains by the stop, in core-seconds: it ends in time,
        or at all, where it would not by waiting.
    """

    cause: Cause
    job_id: str = ""
    gain_core_s: float = 0.0


DRAIN = Purpose(Cause.DRAIN)
MOVE = Purpose(Cause.MOVE)
STALL = Purpose(Cause.STALL)
CANCEL = Purpose(Cause.CANCEL)
FAILED_JOB = Purpose(Cause.FAILED_JOB)
NOT_STARTED = Purpose(Cause.NOT_STARTED)
