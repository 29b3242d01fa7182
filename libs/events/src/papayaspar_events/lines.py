"""Events and their encoding as lines of key=value pairs."""

import enum
import json
import re

import attrs

from papayaspar_model import errors

PAIR_PATTERN = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)')
PLAIN_PATTERN = re.compile(r'[^\s"=\\]+\Z')


class EventKind(enum.Enum):
    """Kind of an event."""

    PROCESS_STARTED = "process_started"
    PROCESS_STOPPING = "process_stopping"
    PROCESS_STOPPED = "process_stopped"
    REQUEST_RECEIVED = "request_received"
    REQUEST_DISPATCHED = "request_dispatched"
    REQUEST_STARTED = "request_started"
    REQUEST_FINISHED = "request_finished"
    REQUEST_ANSWERED = "request_answered"
    REQUEST_REFUSED = "request_refused"
    REQUEST_RETRIED = "request_retried"
    ANSWER_DROPPED = "answer_dropped"
    CLAIM_GRANTED = "claim_granted"
    CLAIM_REFUSED = "claim_refused"
    JOB_ACCEPTED = "job_accepted"
    JOB_REFUSED = "job_refused"
    JOB_PLACED = "job_placed"
    JOB_STARTED = "job_started"
    JOB_RECLAIMED = "job_reclaimed"
    JOB_FINISHED = "job_finished"
    JOB_ADOPTED = "job_adopted"
    GANG_WITHDRAWN = "gang_withdrawn"
    TASK_STARTED = "task_started"
    TASK_STOPPED = "task_stopped"
    STOP_ORDERED = "stop_ordered"
    WORKER_JOINED = "worker_joined"
    WORKER_LOST = "worker_lost"
    WORKER_REPLACED = "worker_replaced"
    WORKER_DRAINING = "worker_draining"
    WORKER_LEFT = "worker_left"
    WORKER_EJECTED = "worker_ejected"
    WORKER_READMITTED = "worker_readmitted"
    PEER_CONNECTED = "peer_connected"
    PEER_LOST = "peer_lost"
    RULES_IN_FORCE = "rules_in_force"
    RULES_REFUSED = "rules_refused"
    HOMES_IN_FORCE = "homes_in_force"
    GUARANTEE_SHORT = "guarantee_short"
    SHARDS_IN_FORCE = "shards_in_force"
    LOG_LOST = "log_lost"
    LOG_REGAINED = "log_regained"
    APPEND_REPEATED = "append_repeated"
    RECORD_REFUSED = "record_refused"
    LEAD_TRIED = "lead_tried"
    LEAD_TAKEN = "lead_taken"
    LEAD_LOST = "lead_lost"
    LEAD_RESIGNED = "lead_resigned"
    AGENT_ATTACHED = "agent_attached"
    AGENT_LOST = "agent_lost"
    AGENT_FORGOTTEN = "agent_forgotten"
    TASK_ASSIGNED = "task_assigned"
    TASK_REFUSED = "task_refused"
    UNIT_STARTED = "unit_started"
    TASK_ENDED = "task_ended"
    ATTEMPT_FAILED = "attempt_failed"
    TASK_LOST = "task_lost"
    TASK_STALLED = "task_stalled"
    TASK_UNKNOWN = "task_unknown"
    TASK_UNCONFIRMED = "task_unconfirmed"
    REPORT_DROPPED = "report_dropped"
    JOB_CANCELLED = "job_cancelled"
    JOB_SHOWN = "job_shown"
    CALL_REFUSED = "call_refused"
    CONNECTION_CLOSED = "connection_closed"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    CONFIGURATION_REFUSED = "configuration_refused"
    EVACUATION_BEGUN = "evacuation_begun"
    EVACUATION_IN_FORCE = "evacuation_in_force"
    EVACUATION_ENDED = "evacuation_ended"
    SETTINGS_RELOADED = "settings_reloaded"
    READINESS_CHANGED = "readiness_changed"
    LEASE_LAPSED = "lease_lapsed"
    TOKEN_RAISED = "token_raised"
    START_RESOLVED = "start_resolved"


@attrs.frozen
class Event:
    """One event in one process.

    :param stamp: reading of the process's hybrid logical clock, which orders events causally.
    :param kind: kind of the event.
    :param process: name of the process.
    :param data_centre: data centre of the process.
    :param worker: name of the worker concerned, or empty.
    :param team: name of the team concerned, or empty.
    :param job: identifier of the job concerned, or empty.
    :param request: identifier of the request concerned, or empty.
    :param attempt: number of the attempt concerned, or 0.
    :param code: error code, or empty.
    :param duration_ms: duration in milliseconds, or ``None``.
    :param detail: description for people, or empty.
    """

    stamp: int
    kind: EventKind
    process: str
    data_centre: str = ""
    worker: str = ""
    team: str = ""
    job: str = ""
    request: str = ""
    attempt: int = 0
    code: str = ""
    duration_ms: float | None = None
    detail: str = ""


class EventLineError(errors.PapayasparError):
    """A line does not contain an event."""

    code = "not_an_event"
    title = "The line is not an event"


def _quote(text: str) -> str:
    if PLAIN_PATTERN.match(text) and text.isascii():
        return text
    return json.dumps(text)


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    return str(json.loads(text))


def to_line(event: Event) -> str:
    """Return an event as one line of key=value pairs, without its empty fields."""
    pairs = [f"stamp={event.stamp}", f"event={event.kind.value}"]
    for field in attrs.fields(Event):
        if field.name in ("stamp", "kind"):
            continue
        value = getattr(event, field.name)
        if value in ("", 0, None):
            continue
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
        pairs.append(f"{field.name}={_quote(text)}")
    return " ".join(pairs)


def from_line(line: str) -> Event:
    """Return the event on a line.

    :raises EventLineError: if the line does not contain an event.
    """
    pairs = {key: _unquote(value) for key, value in PAIR_PATTERN.findall(line)}
    try:
        return Event(
            stamp=int(pairs["stamp"]),
            kind=EventKind(pairs["event"]),
            process=pairs["process"],
            data_centre=pairs.get("data_centre", ""),
            worker=pairs.get("worker", ""),
            team=pairs.get("team", ""),
            job=pairs.get("job", ""),
            request=pairs.get("request", ""),
            attempt=int(pairs.get("attempt", "0")),
            code=pairs.get("code", ""),
            duration_ms=float(pairs["duration_ms"]) if "duration_ms" in pairs else None,
            detail=pairs.get("detail", ""),
        )
    except (KeyError, ValueError) as error:
        raise EventLineError(f"the line is not an event: {line[:80]}") from error
