"""Errors that the ledger and the gang protocol raise."""

from papayaspar_model import errors


class SlotInUseError(errors.ConflictError):
    """The request already holds a slot on this worker; it may be running."""

    code = "slot_in_use"
    title = "The request is in progress here"


class HomeError(errors.UnavailableError):
    """The accelerators are reserved for a guarantee that the claim may not use."""

    code = "home_reserved"
    title = "The accelerators are the home of another guarantee"


class QuarantineError(errors.BusyError):
    """The agent started recently; tasks of its previous incarnation may have a valid lease."""

    code = "quarantine"
    title = "The agent waits for leases of its previous life to end"


class StaleAttemptError(errors.LeaseLostError):
    """The message belongs to an attempt that has ended or was superseded."""

    code = "stale_attempt"
    title = "The attempt is over"


class ClaimConflictError(errors.ConflictError):
    """The same attempt was claimed with other content."""

    code = "claim_conflict"
    title = "The attempt was claimed differently"


class RunnerError(errors.TargetError):
    """The worker's runtime failed or did not answer."""

    code = "runtime_failed"
    title = "The runtime failed"
