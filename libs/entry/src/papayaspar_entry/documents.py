"""Documents that the entry answers with, to callers and operators."""

import attrs

from papayaspar_entry import job_table
from papayaspar_membership import members
from papayaspar_model import errors, work
from papayaspar_rules import faults, revisions


@attrs.frozen
class RequestDocument:
    """Answer to a request.

    :param request_id: the request.
    :param result: the target's JSON.
    :param worker: worker that ran it.
    :param attempts: attempts sent.
    """

    request_id: str
    result: object
    worker: str
    attempts: int


@attrs.frozen
class JobReference:
    """Answer to an accepted or cancelled job.

    :param job_id: the job.
    """

    job_id: str


@attrs.frozen
class JobDocument:
    """Where a job stands.

    :param job_id: the job.
    :param team: whose job.
    :param state: where it stands.
    :param tasks: tasks of its gang.
    :param code: code of the error that ended it, or ``None``.
    :param ran: ``unknown`` when it can't be told whether it ran, else ``None``.
    """

    job_id: str
    team: str
    state: str
    tasks: int
    code: str | None = None
    ran: str | None = None


@attrs.frozen
class WorkerDocument:
    """One worker as the entry sees it.

    :param worker: its name.
    :param rack: its rack.
    :param data_centre: its data centre.
    :param state: ``up``, ``draining`` or ``lost``.
    :param busy_slots: requests in progress.
    :param slots: requests it serves at once.
    :param free_accelerators: accelerators that no gang holds.
    :param accelerators: all its accelerators.
    """

    worker: str
    rack: str
    data_centre: str
    state: str
    busy_slots: int
    slots: int
    free_accelerators: int
    accelerators: int


@attrs.frozen
class WorkerState:
    """Answer to a drain or a retirement.

    :param worker: the worker.
    :param state: its state from now on.
    """

    worker: str
    state: str


@attrs.frozen
class ShortGuarantee:
    """An instance of a guarantee that has no home.

    :param guarantee: name of the guarantee.
    :param instance: which instance, from 0.
    """

    guarantee: str
    instance: int


@attrs.frozen
class StatusDocument:
    """What the entry sees.

    :param process: its name.
    :param revision: revision of the rules.
    :param shards_revision: revision of the owners of idempotency keys, 0 before the first.
    :param workers: the workers.
    :param short_guarantees: instances without a home.
    """

    process: str
    revision: int
    shards_revision: int
    workers: tuple[WorkerDocument, ...]
    short_guarantees: tuple[ShortGuarantee, ...]


@attrs.frozen
class RulesDocument:
    """The rules in force.

    :param revision: their number.
    :param publish_id: the publisher's name for the revision.
    :param text: the rules in canonical form.
    """

    revision: int
    publish_id: str
    text: str


@attrs.frozen
class PublishedDocument:
    """Answer to a publish.

    :param revision: number of the new revision.
    :param publish_id: the publisher's name for it.
    """

    revision: int
    publish_id: str


@attrs.frozen
class HistoryDocument:
    """The revisions that were in force, newest first.

    :param revisions: the revisions.
    """

    revisions: tuple[revisions.HistoryEntry, ...]


@attrs.frozen
class RulesProblem:
    """Problem document of refused rules; the other fields are as in any problem.

    :param faults: every fault with its place.
    """

    title: str
    status: int
    code: str
    detail: str
    ran: str
    faults: tuple[faults.Fault, ...]


def job(known: job_table.KnownJob, state: work.JobState) -> JobDocument:
    """Return the document of a job."""
    code = known.ended.code if known.ended is not None else ""
    is_unknown = state is work.JobState.UNKNOWN
    return JobDocument(
        job_id=known.job.job_id,
        team=known.job.team,
        state=state.value,
        tasks=known.job.shape.tasks,
        code=code or None,
        ran=errors.Ran.UNKNOWN.value if is_unknown else None,
    )


def worker(member: members.Member) -> WorkerDocument:
    """Return the document of a worker."""
    report = member.report
    state = "draining" if report.draining else "up"
    return WorkerDocument(
        worker=member.name,
        rack=report.identity.rack,
        data_centre=report.identity.data_centre,
        state=state if member.is_connected else "lost",
        busy_slots=report.busy_slots,
        slots=report.capacity.slots,
        free_accelerators=len(report.free_accelerators),
        accelerators=report.capacity.accelerators,
    )


def short_guarantee(name: str) -> ShortGuarantee:
    """Return the document of an instance named ``guarantee/instance``."""
    guarantee, _, instance = name.rpartition("/")
    return ShortGuarantee(guarantee, int(instance))
