"""Typed refusals of the ledger and of gangs."""

from papayaspar_model import errors


class SlotInUseError(errors.ConflictError):
    """The request already holds a slot here; it may be running."""

    code = "slot_in_use"
    title = "The request is in progress here"


class HomeError(errors.UnavailableError):
    """The accelerators are set aside for a guarantee that the work may not stand on."""

    code = "home_reserved"
    title = "The accelerators are the home of another guarantee"


class QuarantineError(errors.BusyError):
    """The agent started lately; tasks of its previous life may still hold a lease."""

    code = "quarantine"
    title = "The agent waits for leases of its previous life to end"


class StaleAttemptError(errors.LeaseLostError):
    """The message belongs to an attempt that is over or was superseded."""

    code = "stale_attempt"
    title = "The attempt is over"


class ClaimConflictError(errors.ConflictError):
    """The same attempt was claimed with other content."""

    code = "claim_conflict"
    title = "The attempt was claimed differently"


class RunnerError(errors.TargetError):
    """The runtime of the worker failed or did not answer."""

    code = "runtime_failed"
    title = "The runtime failed"
