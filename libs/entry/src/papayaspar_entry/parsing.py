"""Parsing of requests and jobs from callers' JSON."""

from papayaspar_entry import fields
from papayaspar_model import errors, identifiers, work

DEADLINE_DEFAULT_MS = 30_000
DEADLINE_MAX_MS = 300_000
RUN_TIME_MAX_S = 30 * 24 * 3600
TASKS_MAX = 512
ACCELERATORS_MAX = 64
MILLISECONDS_PER_SECOND = 1000


def check_key(key: str | None) -> None:
    """Reject an idempotency key that is empty, too long or not printable ASCII."""
    if key is None:
        return
    is_printable = key.isascii() and key.isprintable()
    if not is_printable or not 0 < len(key) <= identifiers.KEY_MAX_CHARS:
        raise errors.InvalidRequestError(
            f"the key is not 1 to {identifiers.KEY_MAX_CHARS} printable ASCII characters",
            field="Idempotency-Key",
        )


def request(body: bytes | bytearray, caller: str, key: str | None, now_s: float) -> work.Request:
    """Return the request described by a caller's JSON.

    :param body: JSON text.
    :param caller: name of the caller within the team.
    :param key: idempotency key of the request, or ``None``.
    :param now_s: monotonic time at which the request arrived, in seconds.
    :raises InvalidRequestError: if a field is invalid; the error names the field.
    """
    check_key(key)
    values = fields.Fields(body)
    deadline_ms = values.integer("deadline_ms", 1, DEADLINE_MAX_MS, DEADLINE_DEFAULT_MS)
    parsed = work.Request(
        request_id=identifiers.new_id("req"),
        team=values.name("team"),
        caller=caller,
        kind=values.name("kind"),
        urgency=values.choice("urgency", work.Urgency, work.Urgency.NORMAL),
        idempotent=values.boolean("idempotent", True),
        deadline_s=now_s + deadline_ms / MILLISECONDS_PER_SECOND,
        payload=values.json_text("payload"),
        key=key,
    )
    values.finish()
    return parsed


def job(body: bytes | bytearray, caller: str) -> work.Job:
    """Return the job described by a caller's JSON.

    :param body: JSON text.
    :param caller: name of the caller within the team.
    :raises InvalidRequestError: if a field is invalid; the error names the field.
    """
    values = fields.Fields(body)
    shape = work.Shape(
        tasks=values.integer("tasks", 1, TASKS_MAX),
        accelerators_per_task=values.integer("accelerators_per_task", 1, ACCELERATORS_MAX),
        adjacency=values.choice("adjacency", work.Adjacency, work.Adjacency.ANY),
    )
    parsed = work.Job(
        job_id=identifiers.new_id("job"),
        team=values.name("team"),
        kind=values.name("kind"),
        urgency=values.choice("urgency", work.Urgency, work.Urgency.NORMAL),
        shape=shape,
        run_time_s=values.integer("run_time_s", 1, RUN_TIME_MAX_S),
        checkpoint=values.boolean("checkpoint", False),
        idempotent=values.boolean("idempotent", True),
        caller=caller,
    )
    values.finish()
    return parsed
