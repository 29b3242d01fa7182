"""Types of the records in the store, and their encoding as msgpack maps."""

from typing import TypeVar, cast

import attrs
import cattrs
import msgpack
from cattrs.preconf import msgpack as cattrs_msgpack

from papayaspar_jobs import configurations, registries, rooms, specs, tasks
from papayaspar_store import failures, stores

RecordT = TypeVar("RecordT")

# Largest absolute value of a number in a record: it fits into every message.
NUMBER_MAX = 2**53
# Largest epoch of a lead, so that fencing tokens made of it fit into 63 bits.
EPOCH_MAX = 2**38

TOPIC = "keyed.papayaspar"
# Partition of jobs, cancellations, job states, the lead and agents; every entry follows it.
SHARED_PARTITION = stores.Partition(TOPIC, 0)
# Partition of task records; only a new lead reads it.
TASKS_PARTITION = stores.Partition(TOPIC, 1)

# Keys and key prefixes.
JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
STATE_PREFIX = "state/"
AGENT_PREFIX = "agent/"
TASK_PREFIX = "task/"
ESTIMATES_PREFIX = "estimates/"
LEAD_KEY = "lead"
ROOM_KEY = "room"


@attrs.frozen
class JobRecord:
    """An accepted job.

    :param spec: the job's specification.
    :param queue: configuration of the job's queue at the time of acceptance.
    :param accepted_ms: time of acceptance in milliseconds since the Unix epoch, on the clock of
        the accepting entry.
    :param entry: name of the accepting entry.
    """

    spec: specs.JobSpec
    queue: configurations.Queue
    accepted_ms: int
    entry: str


@attrs.frozen
class CancelRecord:
    """A cancellation of a job.

    :param entry: name of the entry that received the cancellation.
    :param team: team of the caller; only its job is cancelled. ``None`` in records of former
        versions, which were stored for any team.
    """

    entry: str
    team: str | None = None


@attrs.frozen
class StateRecord:
    """Phase of a job, written by the lead.

    :param phase: phase of the job.
    """

    phase: registries.JobPhase


@attrs.frozen
class LeadRecord:
    """The current lead.

    :param epoch: epoch of the leadership, which serves as its fencing token.
    :param node: VM of the lead.
    :param incarnation: unique id of the lead's process.
    :param has_resigned: whether the lead has resigned.
    :param attached: VMs whose agents the lead is attached to.
    :param former_lease_ms: time from this record's storage during which a lead before this one may
        still confirm its leadership to agents, in milliseconds.
    """

    epoch: int
    node: str
    incarnation: str
    has_resigned: bool = False
    attached: tuple[str, ...] = ()
    former_lease_ms: int = 0


@attrs.frozen
class RoomRecord:
    """Room of the pools, as the lead knows it.

    It counts while the record of the same lead is renewed: one writer stores both in order, so no
    newer record of the room is missing when a newer one of the lead is read.

    :param epoch: epoch of the lead.
    :param pools: the pools.
    """

    epoch: int
    pools: tuple[rooms.PoolRoom, ...] = ()


@attrs.frozen
class DoneRun:
    """A run that completed successfully.

    :param task: key of the task.
    :param run: number of the run.
    """

    task: tasks.TaskKey
    run: int


@attrs.frozen
class Departure:
    """An orderly departure of a worker, after which none of its runs continues.

    :param incarnation: last incarnation of the worker.
    :param done: runs that completed successfully but were not acknowledged by a lead.
    """

    incarnation: tasks.Incarnation
    done: tuple[DoneRun, ...] = ()


@attrs.frozen
class AgentRecord:
    """Registration of an agent.

    It includes the last departure of the agent's worker, which a lead has to process even when
    the agent is unreachable.

    :param node: VM of the agent.
    :param address: ``ip:port`` on which the agent listens.
    :param incarnation: unique id of the agent's process.
    :param departure: last departure of a worker on this VM, or ``None``.
    """

    node: str
    address: str
    incarnation: str
    departure: Departure | None = None


@attrs.frozen
class KindRecord:
    """Newest steps of one kind of work of which runs have ended, oldest first.

    :param team: team of the work.
    :param queue: queue of the work.
    :param shape: what the work runs or needs.
    :param family: the same less exactly.
    :param declared_logs: declared run times, in hundredths of the natural logarithm of seconds.
    :param observed_logs: median run times on a worker of ordinary speed, in the same unit.
    :param groups: numbers that identify the steps.
    :param identities: numbers that identify the newest run of each.
    :param run_counts: number of runs of each.
    """

    team: str
    queue: str
    shape: str
    family: str = ""
    declared_logs: tuple[int, ...] = ()
    observed_logs: tuple[int, ...] = ()
    groups: tuple[int, ...] = ()
    identities: tuple[int, ...] = ()
    run_counts: tuple[int, ...] = ()


@attrs.frozen
class KindsRecord:
    """Some of the kinds of work whose run times are learned."""

    kinds: tuple[KindRecord, ...] = ()


@attrs.frozen
class WorkerSpeedRecord:
    """Learned speed of one worker.

    :param node: VM of the worker.
    :param born_ms: start of its incarnation, in milliseconds since the Unix epoch.
    :param excess_log: median of its run times as multiples of what the work takes on other workers,
        in hundredths of the natural logarithm.
    :param run_count: number of runs behind it.
    """

    node: str
    born_ms: int
    excess_log: int
    run_count: int


@attrs.frozen
class WorkerSpeedsRecord:
    """Learned speeds of some of the workers."""

    workers: tuple[WorkerSpeedRecord, ...] = ()


# Errors that values of other types or of extreme size cause when they are structured.
STRUCTURE_ERRORS = (ValueError, TypeError, KeyError, OverflowError, RecursionError)

# Errors that numbers of extreme size and invalid texts cause when they are packed.
PACK_ERRORS = (ValueError, OverflowError)

_converter = cattrs_msgpack.make_converter(omit_if_default=True)


def encode(key: str, record: attrs.AttrsInstance) -> stores.KeyedRecord:
    """Return a record encoded for the store.

    :raises RecordError: when the record has a number or a text that can't be stored.
    """
    try:
        value = cast(bytes, msgpack.packb(_converter.unstructure(record)))
    except PACK_ERRORS as error:
        raise failures.RecordError(f"{key}: {type(error).__name__}") from error
    return stores.KeyedRecord(key, value)


def decode(record: stores.KeyedRecord, record_type: type[RecordT]) -> RecordT:
    """Return a record decoded from the store.

    :raises RecordError: when the value is not a record of the type, or has a number or a text that
        can't be stored again.
    """
    try:
        decoded = _converter.structure(msgpack.unpackb(record.value), record_type)
    except (cattrs.BaseValidationError, *STRUCTURE_ERRORS) as error:
        raise failures.RecordError(f"{record.key}: {type(error).__name__}") from error
    _check(decoded, record.key)
    return decoded


def _check(value: object, key: str) -> None:
    """Check the numbers and texts of a decoded value.

    :raises RecordError: when a number is not finite or too large, or a text is not valid Unicode.
    """
    if isinstance(value, int | float):
        if not abs(value) <= NUMBER_MAX:
            raise failures.RecordError(f"{key}: a number is out of range")
        return
    if isinstance(value, str):
        if not _is_encodable(value):
            raise failures.RecordError(f"{key}: a text is not valid Unicode")
        return
    if isinstance(value, tuple | frozenset):
        for element in value:
            _check(element, key)
        return
    # The names of the fields, if the value is of an attrs class.
    for name in getattr(type(value), "__match_args__", ()):
        _check(getattr(value, name), key)


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
