"""Error hierarchy: every error has a type, a code and an HTTP status for callers."""

import enum


class Ran(enum.Enum):
    """Whether rejected or failed work may have started on a worker."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class PapayasparError(Exception):
    """Base class of all errors of this project.

    :param detail: human-readable description; defaults to the title of the class.
    :param field: name of the invalid field, setting or rule, or ``None``.
    :param ran: whether the work may have started.
    :param retry_after_s: time after which a retry may succeed, in seconds, or ``None``.
    """

    code = "internal"
    status = 500
    title = "Internal error"

    def __init__(
        self,
        detail: str = "",
        *,
        field: str | None = None,
        ran: Ran = Ran.NO,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail or self.title)
        self.detail = detail or self.title
        self.field = field
        self.ran = ran
        self.retry_after_s = retry_after_s


class InvalidRequestError(PapayasparError):
    """The caller's message is not valid; ``field`` names the invalid field."""

    code = "invalid_request"
    status = 400
    title = "The request is not valid"


class BodyTooLargeError(InvalidRequestError):
    """The body exceeds the listener's size limit."""

    code = "body_too_large"
    status = 413
    title = "The body is too large"


class BodyTimeoutError(InvalidRequestError):
    """The client sent its body too slowly."""

    code = "body_timeout"
    status = 408
    title = "The body came too slowly"


class BodyCutError(InvalidRequestError):
    """The body ended before its declared length."""

    code = "body_cut"
    title = "The body ended early"


class NotFoundError(PapayasparError):
    """The job, path or worker does not exist."""

    code = "not_found"
    status = 404
    title = "Not found"


class UnknownTeamError(InvalidRequestError):
    """The current rules contain no such team."""

    code = "unknown_team"
    status = 403
    title = "The team is not known"


class DeadlineError(PapayasparError):
    """The deadline passed; work that has not started will not be started."""

    code = "deadline_exceeded"
    status = 504
    title = "The deadline passed"


class ConflictError(PapayasparError):
    """The idempotency key was used with other content, or its request is still in progress."""

    code = "conflict"
    status = 409
    title = "The key is in use"


class OutcomeUnknownError(PapayasparError):
    """Non-idempotent work may have run; it is not retried."""

    code = "outcome_unknown"
    status = 502
    title = "The work may have run"

    def __init__(self, detail: str = "", *, field: str | None = None) -> None:
        super().__init__(detail, field=field, ran=Ran.UNKNOWN)


class OverloadedError(PapayasparError):
    """A queue is full or a limit is reached; ``retry_after_s`` states when to retry."""

    code = "overloaded"
    status = 429
    title = "Too much work is waiting"


class QuotaExceededError(OverloadedError):
    """The team has reached its quota."""

    code = "quota_exceeded"
    title = "The team is at its quota"


class UnavailableError(PapayasparError):
    """No worker can accept the work now."""

    code = "unavailable"
    status = 503
    title = "No worker is available"


class DrainingError(UnavailableError):
    """The process or worker is draining and accepts no new work."""

    code = "draining"
    title = "The worker is draining"


class BusyError(UnavailableError):
    """The worker has no free slot."""

    code = "busy"
    title = "The worker has no free slot"


class LogUnavailableError(UnavailableError):
    """The platform's log is unavailable, and the operation requires it."""

    code = "log_unavailable"
    title = "The log service is away"


class UnplaceableError(PapayasparError):
    """No worker permitted by the rules has enough capacity for the job."""

    code = "unplaceable"
    status = 422
    title = "No worker can ever hold the job"


class TargetError(PapayasparError):
    """The target failed, or its answer was truncated."""

    code = "target_failed"
    status = 502
    title = "The target failed"


class LeaseLostError(PapayasparError):
    """A lease or reservation is no longer held, or a fencing token is no longer valid."""

    code = "lease_lost"
    status = 409
    title = "The lease is not held"


class PeerError(PapayasparError):
    """A stream to another process of the system failed or timed out."""

    code = "peer_lost"
    status = 502
    title = "The peer is lost"


class ProtocolError(PeerError):
    """A peer sent a message that violates the protocol."""

    code = "protocol"
    title = "The peer broke the protocol"


class RulesError(PapayasparError):
    """Rules were rejected; subclasses list the faults."""

    code = "rules_invalid"
    status = 422
    title = "The rules are not valid"


class RevisionConflictError(RulesError):
    """Another revision of the rules was accepted first."""

    code = "revision_conflict"
    status = 409
    title = "Another revision was accepted first"


class SettingsError(PapayasparError):
    """Settings were rejected at start; ``detail`` lists every fault."""

    code = "settings_invalid"
    title = "The settings are not valid"
