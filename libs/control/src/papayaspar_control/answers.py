"""What an entry answers to operators, and how it is read from JSON."""

import json
from typing import TypeVar

import attrs
import cattrs

from papayaspar_control import failures
from papayaspar_rules import revisions

T = TypeVar("T")

CONVERTER = cattrs.Converter()


@attrs.frozen
class Published:
    """A publish that was accepted.

    :param revision: number of the new revision.
    :param publish_id: the publisher's name for it.
    """

    revision: int
    publish_id: str


@attrs.frozen
class RulesInForce:
    """The rules an entry goes by.

    :param revision: their number.
    :param text: the rules in canonical form.
    :param publish_id: the publisher's name for the revision.
    """

    revision: int
    text: str
    publish_id: str


@attrs.frozen
class History:
    """Revisions that were in force.

    :param revisions: the revisions, in any order.
    """

    revisions: tuple[revisions.HistoryEntry, ...]


@attrs.frozen
class WorkerRow:
    """One worker as an entry sees it.

    :param worker: its name.
    :param rack: its rack.
    :param data_centre: its data centre.
    :param state: such as ``up``, ``draining`` or ``lost``.
    :param busy_slots: requests in progress.
    :param slots: requests it serves at once.
    :param free_accelerators: accelerators no gang holds.
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
class ShortGuarantee:
    """An instance of a guarantee that has no home.

    :param guarantee: name of the guarantee.
    :param instance: which instance, from 0.
    """

    guarantee: str
    instance: int


@attrs.frozen
class Status:
    """What an entry sees.

    :param process: name of the entry.
    :param revision: revision of the rules it goes by.
    :param workers: the workers.
    :param short_guarantees: instances without a home.
    :param shards_revision: revision of the owners of idempotency keys, 0 before the first.
    """

    process: str
    revision: int
    workers: tuple[WorkerRow, ...]
    short_guarantees: tuple[ShortGuarantee, ...] = ()
    shards_revision: int = 0


@attrs.frozen
class FaultRow:
    """One fault of refused rules.

    :param line: line, from 1.
    :param column: column, from 1.
    :param code: kind of fault.
    :param detail: one sentence.
    """

    line: int
    column: int
    code: str
    detail: str


@attrs.frozen
class Problem:
    """A problem document (RFC 9457).

    :param code: code of the error.
    :param detail: one sentence.
    :param ran: whether it may have taken effect: ``no``, ``unknown`` or ``yes``.
    :param field: field at fault, or ``None``.
    :param faults: faults of refused rules.
    """

    code: str
    detail: str = ""
    ran: str = "unknown"
    field: str | None = None
    faults: tuple[FaultRow, ...] = ()


@attrs.frozen
class JobField:
    """One field of a job as an entry reports it.

    :param name: name of the field.
    :param value: its value as JSON text.
    """

    name: str
    value: str


def read(cls: type[T], content: bytes) -> T:
    """Read an answer; fields of later versions are ignored.

    :param cls: class of the answer.
    :param content: JSON text.
    :return: the answer.
    :raises BrokenAnswerError: if the content is anything else.
    """
    try:
        return CONVERTER.structure(json.loads(content), cls)
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError, RecursionError) as error:
        raise failures.BrokenAnswerError(f"the answer is no {cls.__name__}") from error


def read_job(content: bytes) -> tuple[JobField, ...]:
    """Read what an entry reports of a job, whatever fields it has.

    :param content: JSON text.
    :return: its fields in the order given.
    :raises BrokenAnswerError: if the content is no JSON object.
    """
    try:
        fields = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise failures.BrokenAnswerError("the answer is not JSON") from error
    if not isinstance(fields, dict):
        raise failures.BrokenAnswerError("the answer is no JSON object")
    return tuple(JobField(name, json.dumps(value)) for name, value in fields.items())
