"""Responses of the operators' API of an entry, and their decoding from JSON."""

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
    """An accepted publish.

    :param revision: number of the new revision.
    :param publish_id: identifier of the publish, chosen by the publisher.
    """

    revision: int
    publish_id: str


@attrs.frozen
class RulesInForce:
    """The rules in force on an entry.

    :param revision: number of their revision.
    :param text: the rules in canonical form.
    :param publish_id: identifier of their publish, chosen by the publisher.
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
    """State of one worker as seen by an entry.

    :param worker: name of the worker.
    :param rack: its rack.
    :param data_centre: its data centre.
    :param state: state, such as ``up``, ``draining`` or ``lost``.
    :param busy_slots: number of requests in progress.
    :param slots: largest number of concurrent requests.
    :param free_accelerators: number of accelerators that no gang holds.
    :param accelerators: number of all its accelerators.
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
    """An instance of a guarantee without a home, that is without reserved accelerators.

    :param guarantee: name of the guarantee.
    :param instance: number of the instance, from 0.
    """

    guarantee: str
    instance: int


@attrs.frozen
class Status:
    """State of the system as seen by an entry.

    :param process: name of the entry.
    :param revision: number of the revision of the rules in force.
    :param workers: the workers.
    :param short_guarantees: instances without a home.
    :param shards_revision: revision of the shard map, which gives the owners of idempotency keys;
        0 before the first one.
    """

    process: str
    revision: int
    workers: tuple[WorkerRow, ...]
    short_guarantees: tuple[ShortGuarantee, ...] = ()
    shards_revision: int = 0


@attrs.frozen
class FaultRow:
    """One fault of rejected rules.

    :param line: line, from 1.
    :param column: column, from 1.
    :param code: code of the fault.
    :param detail: description, one sentence.
    """

    line: int
    column: int
    code: str
    detail: str


@attrs.frozen
class Problem:
    """A problem document (RFC 9457).

    :param code: code of the error.
    :param detail: description, one sentence.
    :param ran: whether the request took effect: ``no``, ``unknown`` or ``yes``.
    :param field: name of the faulty field, or ``None``.
    :param faults: faults of rejected rules.
    """

    code: str
    detail: str = ""
    ran: str = "unknown"
    field: str | None = None
    faults: tuple[FaultRow, ...] = ()


@attrs.frozen
class JobField:
    """One field of a job document.

    :param name: name of the field.
    :param value: its value as JSON text.
    """

    name: str
    value: str


def decode(cls: type[T], content: bytes) -> T:
    """Decode a response; fields of later versions are ignored.

    :param cls: class of the response.
    :param content: body of the response, JSON.
    :return: the response.
    :raises BrokenAnswerError: if the body does not match the class.
    """
    try:
        return CONVERTER.structure(json.loads(content), cls)
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError, RecursionError) as error:
        raise failures.BrokenAnswerError(f"the response is not a valid {cls.__name__}") from error


def decode_job(content: bytes) -> tuple[JobField, ...]:
    """Decode a job document with any fields.

    :param content: body of the response, JSON.
    :return: its fields, in the order of the document.
    :raises BrokenAnswerError: if the body is not a JSON object.
    """
    try:
        fields = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise failures.BrokenAnswerError("the response is not JSON") from error
    if not isinstance(fields, dict):
        raise failures.BrokenAnswerError("the response is not a JSON object")
    return tuple(JobField(name, json.dumps(value)) for name, value in fields.items())
