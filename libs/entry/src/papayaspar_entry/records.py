"""Records that entries append to the platform's log, encoded as JSON."""

import attrs
import cattrs
from cattrs.preconf import json as cattrs_json

from papayaspar_model import errors, rulesets, work

JOBS_STREAM = "jobs"
HOMES_STREAM = "homes"


class InvalidRecordError(errors.PapayasparError):
    """A record on the log is not a valid record of an entry."""

    code = "invalid_record"
    title = "The record is not valid"


@attrs.frozen
class JobAccepted:
    """A job was accepted; the record is repeated before the log drops it.

    :param job: specification of the job.
    :param accepted_wall_s: time of acceptance, in seconds since the Unix epoch.
    :param claim_id: claim that had won the job when the record was repeated, or empty.
    :param failed_attempts: attempts that had failed when the record was repeated.
    """

    job: work.Job
    accepted_wall_s: float
    claim_id: str = ""
    failed_attempts: tuple[int, ...] = ()


@attrs.frozen
class JobClaimed:
    """An entry claims a non-idempotent job to launch it; the first claim on the log wins.

    :param job_id: identifier of the job.
    :param claim_id: identifier of the entry's claim.
    """

    job_id: str
    claim_id: str


@attrs.frozen
class JobCancelled:
    """A caller cancelled a job.

    :param job_id: identifier of the job.
    """

    job_id: str


@attrs.frozen
class RunFailed:
    """A run of a job failed, and the job is to be placed again.

    :param job_id: identifier of the job.
    :param attempt: attempt that failed.
    """

    job_id: str
    attempt: int


@attrs.frozen
class JobEnded:
    """A job ended.

    :param job_id: identifier of the job.
    :param state: final state of the job.
    :param attempt: attempt that ended the job, or 0.
    :param code: code of the error that ended the job, or empty.
    """

    job_id: str
    state: work.JobState
    attempt: int = 0
    code: str = ""


@attrs.frozen
class HomesPacked:
    """Homes of all guarantees; the first record whose parent is the newest revision wins.

    :param revision: number of this packing, from 1.
    :param parent: revision that this packing is based on.
    :param rules_revision: revision of the rules that the homes are packed for.
    :param homes: reserved accelerators of each instance of a guarantee.
    :param short: instances without a home, as ``guarantee/instance``.
    :param repeated: whether the record repeats the newest one before the log drops it.
    """

    revision: int
    parent: int
    rules_revision: int
    homes: tuple[rulesets.Home, ...]
    short: tuple[str, ...] = ()
    repeated: bool = False


@attrs.frozen
class _Envelope:
    """Holds one record in the field that identifies its type."""

    accepted: JobAccepted | None = None
    claimed: JobClaimed | None = None
    cancelled: JobCancelled | None = None
    run_failed: RunFailed | None = None
    ended: JobEnded | None = None
    packed: HomesPacked | None = None


JobRecord = JobAccepted | JobClaimed | JobCancelled | RunFailed | JobEnded

_CONVERTER = cattrs_json.make_converter(omit_if_default=True)


def encode(record: JobRecord | HomesPacked) -> bytes:
    """Return the encoded form of a record."""
    if isinstance(record, JobAccepted):
        envelope = _Envelope(accepted=record)
    elif isinstance(record, JobClaimed):
        envelope = _Envelope(claimed=record)
    elif isinstance(record, JobCancelled):
        envelope = _Envelope(cancelled=record)
    elif isinstance(record, RunFailed):
        envelope = _Envelope(run_failed=record)
    elif isinstance(record, JobEnded):
        envelope = _Envelope(ended=record)
    else:
        envelope = _Envelope(packed=record)
    return _CONVERTER.dumps(envelope).encode()


def decode(data: bytes) -> JobRecord | HomesPacked:
    """Return the record encoded by :func:`encode`.

    :raises InvalidRecordError: if the data is not a record.
    """
    try:
        envelope = _CONVERTER.loads(data, _Envelope)
    except (cattrs.BaseValidationError, ValueError, RecursionError) as error:
        raise InvalidRecordError("the data is not a record") from error
    for record in (
        envelope.accepted,
        envelope.claimed,
        envelope.cancelled,
        envelope.run_failed,
        envelope.ended,
    ):
        if record is not None:
            return record
    if envelope.packed is not None:
        return envelope.packed
    raise InvalidRecordError("the record is empty")
