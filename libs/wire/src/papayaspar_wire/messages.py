"""Messages between entries and agents, and between entries."""

from typing import TypeVar

import attrs

from papayaspar_model import errors, rulesets, work, workers
from papayaspar_wire import codecs, failures

M = TypeVar("M")


@attrs.frozen
class Hello:
    """First message of an agent on a stream.

    :param report: its worker as it stands.
    :param rules_revision: newest revision of the rules the agent holds.
    """

    report: workers.WorkerReport
    rules_revision: int = 0


@attrs.frozen
class EntryHello:
    """First message of an entry on a stream to another entry.

    :param process: name of the calling entry.
    :param address: where it listens for its peers.
    """

    process: str
    address: str


@attrs.frozen
class Welcome:
    """Answer to either hello.

    :param process: name of the answering entry.
    :param entries: addresses of every entry it knows, its own first.
    """

    process: str
    entries: tuple[str, ...]


@attrs.frozen
class Report:
    """An agent's report when something changed.

    :param report: its worker as it stands.
    """

    report: workers.WorkerReport


@attrs.frozen
class ReportTaken:
    """Answer to a report that wants one: no request that follows on the stream ignores it."""


@attrs.frozen
class EntriesChanged:
    """Entries an agent should hold a stream to.

    :param entries: their addresses.
    """

    entries: tuple[str, ...]


@attrs.frozen
class RulesInForce:
    """Rules passed on to agents and entries: a whole revision, or the changes since one.

    :param records: records of the rules library, to be adopted one after the other.
    :param homes: homes of guarantees on the receiver's worker.
    :param homes_revision: revision of the homes; only newer ones count.
    """

    records: tuple[bytes, ...]
    homes: tuple[rulesets.Home, ...] = ()
    homes_revision: int = 0


@attrs.frozen
class RulesWanted:
    """Ask an agent for the newest rules it holds; answered with :class:`RulesInForce`."""


@attrs.frozen
class RunRequest:
    """Run one attempt of a request on the agent's target.

    :param request_id: the request.
    :param attempt: number of the attempt, from 1.
    :param team: whose work.
    :param kind: kind of work.
    :param urgency: how soon it is wanted.
    :param idempotent: whether running it twice does no harm.
    :param remaining_ms: time left until its deadline.
    :param payload: body for the target.
    :param key: the caller's idempotency key, if any.
    """

    request_id: str
    attempt: int
    team: str
    kind: str
    urgency: work.Urgency
    idempotent: bool
    remaining_ms: int
    payload: bytes
    key: str | None = None


@attrs.frozen
class RequestAnswer:
    """The whole answer of a target.

    :param request_id: the request.
    :param attempt: the attempt that was run.
    :param worker: worker that ran it.
    :param status: HTTP status of the target.
    :param body: the body, whole.
    """

    request_id: str
    attempt: int
    worker: str
    status: int
    body: bytes


@attrs.frozen
class CancelRequest:
    """The caller has gone; an attempt that has not started need not start.

    :param request_id: the request.
    :param attempt: the attempt.
    """

    request_id: str
    attempt: int


@attrs.frozen
class DrainWorker:
    """An operator wants the worker to leave."""


@attrs.frozen
class Done:
    """The call was carried out."""


@attrs.frozen
class EventsWanted:
    """Ask for the newest events a process keeps.

    :param limit: most events.
    """

    limit: int


@attrs.frozen
class EventLines:
    """Events as log lines.

    :param lines: one key=value line an event, oldest first.
    """

    lines: tuple[str, ...]


ALL = (
    Hello,
    EntryHello,
    Welcome,
    Report,
    ReportTaken,
    EntriesChanged,
    RulesInForce,
    RulesWanted,
    RunRequest,
    RequestAnswer,
    CancelRequest,
    DrainWorker,
    Done,
    EventsWanted,
    EventLines,
    failures.Failure,
)


def expect(message: object, message_type: type[M]) -> M:
    """Return a message checked to be of the type that the protocol wants here.

    :raises ProtocolError: when it is of another type.
    """
    if not isinstance(message, message_type):
        raise errors.ProtocolError(
            f"expected {message_type.__name__}, got {type(message).__name__}",
            ran=errors.Ran.UNKNOWN,
        )
    return message


def codec(*others: type) -> codecs.Codec:
    """Return the codec of every message between the system's processes.

    :param others: message types of the libraries that the two ends share.
    """
    return codecs.Codec((*ALL, *others))
