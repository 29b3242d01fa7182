"""What papayaspar keeps in the store, and its encoding as msgpack maps."""

from typing import TypeVar, cast

import attrs
import cattrs
import msgpack
from cattrs.preconf import msgpack as cattrs_msgpack

from papayaspar_jobs import books, configurations, specs, tasks
from papayaspar_store import failures, stores

R = TypeVar("R")

TOPIC = "keyed.papayaspar"
# Followed by every entry: jobs, cancellations, states, the lead, agents.
SHARED = stores.Partition(TOPIC, 0)
# Read by a new lead only.
TASKS = stores.Partition(TOPIC, 1)

JOB = "job/"
CANCEL = "cancel/"
STATE = "state/"
AGENT = "agent/"
TASK = "task/"
LEAD = "lead"


@attrs.frozen
class JobRecord:
    """An accepted job.

    :param spec: what was asked for.
    :param queue: its queue as it was then.
    :param accepted_ms: milliseconds since the Unix epoch on the accepting entry.
    :param entry: name of that entry.
    """

    spec: specs.JobSpec
    queue: configurations.Queue
    accepted_ms: int
    entry: str


@attrs.frozen
class CancelRecord:
    """A cancellation.

    :param entry: the entry that was told.
    """

    entry: str


@attrs.frozen
class StateRecord:
    """How far a job is.

    :param phase: its phase.
    """

    phase: books.JobPhase


@attrs.frozen
class LeadRecord:
    """Who has the scheduling duty.

    :param epoch: fencing token of the duty.
    :param node: machine of the lead.
    :param incarnation: identity of its process.
    :param has_resigned: whether it gave the duty back.
    :param attached: machines whose agents it is attached to.
    """

    epoch: int
    node: str
    incarnation: str
    has_resigned: bool = False
    attached: tuple[str, ...] = ()


@attrs.frozen
class DoneRun:
    """A run that ended as done.

    :param task: its task.
    :param run: its number.
    """

    task: tasks.TaskKey
    run: int


@attrs.frozen
class Departure:
    """The end of a worker that said that it leaves: none of its runs goes on.

    :param incarnation: its last life.
    :param done: its runs that ended as done and that no lead had acknowledged.
    """

    incarnation: tasks.Incarnation
    done: tuple[DoneRun, ...] = ()


@attrs.frozen
class AgentRecord:
    """Where an agent can be reached, and what leads must know of its worker without it.

    :param node: its machine.
    :param address: ``ip:port`` that it listens on.
    :param incarnation: identity of its process.
    :param departure: the worker that left last, or ``None``.
    """

    node: str
    address: str
    incarnation: str
    departure: Departure | None = None


_converter = cattrs_msgpack.make_converter(omit_if_default=True)


def encode(key: str, record: attrs.AttrsInstance) -> stores.KeyedRecord:
    """Return the stored form of a record."""
    value = cast(bytes, msgpack.packb(_converter.unstructure(record)))
    return stores.KeyedRecord(key, value)


def decode(record: stores.KeyedRecord, record_type: type[R]) -> R:
    """Return the record that bytes hold.

    :raises RecordError: when they hold none.
    """
    try:
        return _converter.structure(msgpack.unpackb(record.value), record_type)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        raise failures.RecordError(f"{record.key}: {type(error).__name__}") from error
