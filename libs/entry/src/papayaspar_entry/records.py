"""Records that entries keep on the platform's log, as JSON."""

import attrs
import cattrs
from cattrs.preconf import json as cattrs_json

from papayaspar_model import errors, rulesets, work

JOBS_STREAM = "jobs"
HOMES_STREAM = "homes"


class InvalidRecordError(errors.PapayasparError):
    """A record of the log is not one of ours."""

    code = "invalid_record"
    title = "The record is not valid"


@attrs.frozen
class JobAccepted:
    """A job was accepted; repeated before the log forgets it.

    :param job: the job.
    :param accepted_wall_s: when, in seconds since the Unix epoch.
    :param claim_id: claim that won the job before the record was repeated, or empty.
    """

    job: work.Job
    accepted_wall_s: float
    claim_id: str = ""


@attrs.frozen
class JobClaimed:
    """An entry wants to launch a non-idempotent job; the first claim on the log wins.

    :param job_id: the job.
    :param claim_id: the entry's name for its claim.
    """

    job_id: str
    claim_id: str


@attrs.frozen
class JobCancelled:
    """A caller took a job back.

    :param job_id: the job.
    """

    job_id: str


@attrs.frozen
class JobEnded:
    """A job came to its end.

    :param job_id: the job.
    :param state: how it ended.
    :param attempt: run that ended it, or 0.
    :param code: code of the error that ended it, or empty.
    """

    job_id: str
    state: work.JobState
    attempt: int = 0
    code: str = ""


@attrs.frozen
class HomesPacked:
    """Homes of all guarantees; the first child of the newest one wins.

    :param revision: number of this packing, from 1.
    :param parent: revision it was made from.
    :param rules_revision: rules it was packed for.
    :param homes: the homes.
    :param short: instances without a home, as ``guarantee/instance``.
    :param repeated: whether the record repeats the newest one before the log forgets it.
    """

    revision: int
    parent: int
    rules_revision: int
    homes: tuple[rulesets.Home, ...]
    short: tuple[str, ...] = ()
    repeated: bool = False


@attrs.frozen
class _Envelope:
    accepted: JobAccepted | None = None
    claimed: JobClaimed | None = None
    cancelled: JobCancelled | None = None
    ended: JobEnded | None = None
    packed: HomesPacked | None = None


JobRecord = JobAccepted | JobClaimed | JobCancelled | JobEnded

_CONVERTER = cattrs_json.make_converter(omit_if_default=True)


def encode(record: JobRecord | HomesPacked) -> bytes:
    """Return the bytes of a record."""
    if isinstance(record, JobAccepted):
        envelope = _Envelope(accepted=record)
    elif isinstance(record, JobClaimed):
        envelope = _Envelope(claimed=record)
    elif isinstance(record, JobCancelled):
        envelope = _Envelope(cancelled=record)
    elif isinstance(record, JobEnded):
        envelope = _Envelope(ended=record)
    else:
        envelope = _Envelope(packed=record)
    return _CONVERTER.dumps(envelope).encode()


def decode(data: bytes) -> JobRecord | HomesPacked:
    """Return the record in bytes.

    :raises InvalidRecordError: when there is none.
    """
    try:
        envelope = _CONVERTER.loads(data, _Envelope)
    except (cattrs.BaseValidationError, ValueError, RecursionError) as error:
        raise InvalidRecordError("not a record") from error
    for found in (envelope.accepted, envelope.claimed, envelope.cancelled, envelope.ended):
        if found is not None:
            return found
    if envelope.packed is not None:
        return envelope.packed
    raise InvalidRecordError("an empty record")
