"""The tree of errors: every failure has a type, a code and, for callers, an HTTP status."""

import enum


class Ran(enum.Enum):
    """Whether refused or failed work may have started on a worker."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class PapayasparError(Exception):
    """Base of every failure this project raises.

    :param detail: one sentence for a person.
    :param field: name of the field, setting or rule at fault, if there is one.
    :param ran: whether the work may have started.
    :param retry_after_s: seconds after which trying again may help, if known.
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
    """The caller's message is malformed; ``field`` names the place."""

    code = "invalid_request"
    status = 400
    title = "The request is not valid"


class BodyTooLargeError(InvalidRequestError):
    """The body is longer than the listener accepts."""

    code = "body_too_large"
    status = 413
    title = "The body is too large"


class BodyCutError(InvalidRequestError):
    """The body ended before its declared length."""

    code = "body_cut"
    title = "The body ended early"


class NotFoundError(PapayasparError):
    """No such job, path or worker."""

    code = "not_found"
    status = 404
    title = "Not found"


class UnknownTeamError(InvalidRequestError):
    """The rules in force know no such team."""

    code = "unknown_team"
    status = 403
    title = "The team is not known"


class DeadlineError(PapayasparError):
    """The deadline passed; work that had not started is not started."""

    code = "deadline_exceeded"
    status = 504
    title = "The deadline passed"


class ConflictError(PapayasparError):
    """The same idempotency key came with other content, or is still in progress."""

    code = "conflict"
    status = 409
    title = "The key is in use"


class OutcomeUnknownError(PapayasparError):
    """Non-idempotent work may have run; it is never run again."""

    code = "outcome_unknown"
    status = 502
    title = "The work may have run"

    def __init__(self, detail: str = "", *, field: str | None = None) -> None:
        super().__init__(detail, field=field, ran=Ran.UNKNOWN)


class OverloadedError(PapayasparError):
    """A queue or limit is full; ``retry_after_s`` says when to try again."""

    code = "overloaded"
    status = 429
    title = "Too much work is waiting"


class QuotaExceededError(OverloadedError):
    """The team is at its ceiling."""

    code = "quota_exceeded"
    title = "The team is at its quota"


class UnavailableError(PapayasparError):
    """No worker can take the work now."""

    code = "unavailable"
    status = 503
    title = "No worker is available"


class DrainingError(UnavailableError):
    """The process or worker is leaving and takes no new work."""

    code = "draining"
    title = "The worker is draining"


class BusyError(UnavailableError):
    """The worker has no free slot."""

    code = "busy"
    title = "The worker has no free slot"


class LogUnavailableError(UnavailableError):
    """The platform's log is away, and this operation needs it."""

    code = "log_unavailable"
    title = "The log service is away"


class UnplaceableError(PapayasparError):
    """No worker that could exist under the rules can hold the job."""

    code = "unplaceable"
    status = 422
    title = "No worker can ever hold the job"


class TargetError(PapayasparError):
    """The target failed or its answer was cut."""

    code = "target_failed"
    status = 502
    title = "The target failed"


class LeaseLostError(PapayasparError):
    """A lease, reservation or fence is no longer held."""

    code = "lease_lost"
    status = 409
    title = "The lease is not held"


class PeerError(PapayasparError):
    """A stream to another process of the system failed or went silent."""

    code = "peer_lost"
    status = 502
    title = "The peer is lost"


class ProtocolError(PeerError):
    """A peer sent what the protocol does not allow."""

    code = "protocol"
    title = "The peer broke the protocol"


class RulesError(PapayasparError):
    """Rules were refused; the subclass carries the faults."""

    code = "rules_invalid"
    status = 422
    title = "The rules are not valid"


class RevisionConflictError(RulesError):
    """Another revision was accepted first."""

    code = "revision_conflict"
    status = 409
    title = "Another revision was accepted first"


class SettingsError(PapayasparError):
    """Settings were refused at start; the detail names every fault."""

    code = "settings_invalid"
    title = "The settings are not valid"
