"""Messages between entries and agents, and between entries."""

from typing import TypeVar

import attrs

from papayaspar_model import errors, rulesets, work, workers
from papayaspar_wire import codecs, failures

ExpectedMessage = TypeVar("ExpectedMessage")


@attrs.frozen
class Hello:
    """First message of an agent on a stream.

    :param report: current state of the agent's worker.
    :param rules_revision: newest revision of the rules that the agent has.
    """

    report: workers.WorkerReport
    rules_revision: int = 0


@attrs.frozen
class EntryHello:
    """First message of an entry on a stream to another entry.

    :param process: name of the calling entry.
    :param address: address on which the entry accepts streams.
    """

    process: str
    address: str


@attrs.frozen
class Welcome:
    """Answer to the hello of an agent or of an entry.

    :param process: name of the answering entry.
    :param entries: addresses of all entries that the answering entry knows, its own first.
    """

    process: str
    entries: tuple[str, ...]


@attrs.frozen
class Report:
    """Report of an agent after a change.

    :param report: current state of the agent's worker.
    """

    report: workers.WorkerReport


@attrs.frozen
class ReportTaken:
    """Answer to a report sent as a call: the report applies to later requests on the stream."""


@attrs.frozen
class EntriesChanged:
    """Notice of new entries; the agent maintains a stream to each.

    :param entries: addresses of all entries that the sender knows, its own first.
    """

    entries: tuple[str, ...]


@attrs.frozen
class RulesInForce:
    """Rules sent to agents and entries: a complete revision, or the changes since one.

    :param records: encoded records of the rules library, to be applied in order.
    :param homes: reserved accelerators of guarantees on the receiver's worker.
    :param homes_revision: revision of the homes; older revisions are ignored.
    """

    records: tuple[bytes, ...]
    homes: tuple[rulesets.Home, ...] = ()
    homes_revision: int = 0


@attrs.frozen
class RulesWanted:
    """Request for the rules in force on an agent; answered with :class:`RulesInForce`."""


@attrs.frozen
class RunRequest:
    """Call that runs one attempt of a request on the agent's target.

    :param request_id: identifier of the request.
    :param attempt: number of the attempt, from 1.
    :param team: team that the request belongs to.
    :param kind: kind of work.
    :param urgency: urgency class of the request.
    :param idempotent: whether the request may safely run more than once.
    :param remaining_ms: time left until the deadline, in milliseconds.
    :param payload: body for the target.
    :param key: idempotency key of the caller, or ``None``.
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
    """Complete answer of a target.

    :param request_id: identifier of the request.
    :param attempt: number of the attempt that was run.
    :param worker: name of the worker that ran it.
    :param status: HTTP status that the target returned.
    :param body: complete body that the target returned.
    """

    request_id: str
    attempt: int
    worker: str
    status: int
    body: bytes


@attrs.frozen
class CancelRequest:
    """Notice that the caller disconnected; the agent cancels the attempt if it is idempotent.

    :param request_id: identifier of the request.
    :param attempt: number of the attempt.
    """

    request_id: str
    attempt: int


@attrs.frozen
class DrainWorker:
    """Call that makes a worker drain, on behalf of an operator."""


@attrs.frozen
class Done:
    """Answer to a call that was executed and returns no data."""


@attrs.frozen
class EventsWanted:
    """Request for the newest events in the journal of a process.

    :param limit: maximum number of events.
    """

    limit: int


@attrs.frozen
class EventLines:
    """Events as log lines.

    :param lines: one line of key=value pairs per event, oldest first.
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


def expect(message: object, message_type: type[ExpectedMessage]) -> ExpectedMessage:
    """Return a message after checking its type.

    :raises ProtocolError: if the message is of another type than expected.
    """
    if not isinstance(message, message_type):
        raise errors.ProtocolError(
            f"expected {message_type.__name__}, got {type(message).__name__}",
            ran=errors.Ran.UNKNOWN,
        )
    return message


def codec(*others: type) -> codecs.Codec:
    """Return a codec for the messages of this module and of other libraries.

    :param others: message types of other libraries that both peers use.
    """
    return codecs.Codec((*ALL, *others))
