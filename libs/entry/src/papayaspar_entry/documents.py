"""JSON documents that the HTTP APIs for callers and operators return."""

import attrs

from papayaspar_entry import job_table
from papayaspar_membership import members
from papayaspar_model import errors, work
from papayaspar_rules import faults, revisions


@attrs.frozen
class RequestDocument:
    """Answer to a request.

    :param request_id: identifier of the request.
    :param result: JSON value that the target returned.
    :param worker: name of the worker that ran the request.
    :param attempts: number of attempts sent.
    """

    request_id: str
    result: object
    worker: str
    attempts: int


@attrs.frozen
class JobReference:
    """Answer to an accepted or cancelled job.

    :param job_id: identifier of the job.
    """

    job_id: str


@attrs.frozen
class JobDocument:
    """State of a job.

    :param job_id: identifier of the job.
    :param team: team that owns the job.
    :param state: value of :class:`papayaspar_model.work.JobState`.
    :param tasks: number of tasks of the job's gang.
    :param code: code of the error that ended the job, or ``None``.
    :param ran: ``unknown`` if it is unknown whether the job ran, else ``None``.
    """

    job_id: str
    team: str
    state: str
    tasks: int
    code: str | None = None
    ran: str | None = None


@attrs.frozen
class WorkerDocument:
    """State of a worker as reported to this entry.

    :param worker: name of the worker.
    :param rack: rack of the worker.
    :param data_centre: data centre of the worker.
    :param state: ``up``, ``draining`` or ``lost``.
    :param busy_slots: number of requests in progress.
    :param slots: number of requests that the worker runs concurrently.
    :param free_accelerators: number of accelerators that no gang holds.
    :param accelerators: number of accelerators of the worker.
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

    :param worker: name of the worker.
    :param state: new state of the worker.
    """

    worker: str
    state: str


@attrs.frozen
class ShortGuarantee:
    """An instance of a guarantee without reserved accelerators (its home).

    :param guarantee: name of the guarantee.
    :param instance: index of the instance, from 0.
    """

    guarantee: str
    instance: int


@attrs.frozen
class StatusDocument:
    """Status of the system as seen by this entry.

    :param process: name of this entry.
    :param revision: revision of the rules in force.
    :param shards_revision: revision of the shard map, 0 before the first.
    :param workers: states of the workers.
    :param short_guarantees: instances of guarantees without a home.
    """

    process: str
    revision: int
    shards_revision: int
    workers: tuple[WorkerDocument, ...]
    short_guarantees: tuple[ShortGuarantee, ...]


@attrs.frozen
class RulesDocument:
    """The rules in force.

    :param revision: number of the revision.
    :param publish_id: identifier that the publisher chose for the revision.
    :param text: rules in canonical form.
    """

    revision: int
    publish_id: str
    text: str


@attrs.frozen
class PublishedDocument:
    """Answer to the publication of rules.

    :param revision: number of the new revision.
    :param publish_id: identifier that the publisher chose for the revision.
    """

    revision: int
    publish_id: str


@attrs.frozen
class HistoryDocument:
    """History of the rules.

    :param revisions: revisions that were in force, newest first.
    """

    revisions: tuple[revisions.HistoryEntry, ...]


@attrs.frozen
class RulesProblem:
    """Problem document of rejected rules.

    The other fields are those of :class:`papayaspar_web.problems.Problem`.

    :param faults: all faults of the rules, with their positions.
    """

    title: str
    status: int
    code: str
    detail: str
    ran: str
    faults: tuple[faults.Fault, ...]


def job(tracked: job_table.TrackedJob, state: work.JobState) -> JobDocument:
    """Return the document of a job."""
    code = tracked.ended.code if tracked.ended is not None else ""
    is_unknown = state is work.JobState.UNKNOWN
    return JobDocument(
        job_id=tracked.job.job_id,
        team=tracked.job.team,
        state=state.value,
        tasks=tracked.job.shape.tasks,
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
