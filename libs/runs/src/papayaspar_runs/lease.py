"""A worker's lease: whether its agent may renew it, and when it has certainly expired."""

from papayaspar_events import journal, lines
from papayaspar_model import clock

MILLISECONDS_PER_SECOND = 1000.0
# A worker's lease may last longer than its nominal duration by this factor, since its clock may be
# slow (worker API: 2%), with a margin for rounding.
CLOCK_DRIFT_RATIO = 1.025
# An agent renews the worker's lease for this long after a lead last confirmed its leadership, in
# seconds: a failed lead is replaced within 2 s plus the time to dial the agents.
AGENT_LEAD_LEASE_S = 6.0


class Lease:
    """The agent's state of the lease of one worker.

    The agent renews the worker's lease only while the lead's lease is valid.

    :param lease_max_s: longest lease that a worker grants, in seconds on its own clock.
    :param clock_source: clock that also advances while the VM is suspended.
    :param events: journal in which the end of renewals is recorded.
    """

    def __init__(
        self, lease_max_s: float, clock_source: clock.Clock, events: journal.Journal
    ) -> None:
        self._lease_max_s = lease_max_s
        self._clock = clock_source
        self._events = events
        self._lead_lease_expiry_s = 0.0
        self._start_lease_expiry_s = float("inf")
        # Newest reading of the worker's clock, and when it was read.
        self._worker_clock_ms: int | None = None
        self._worker_clock_read_s = 0.0
        self.is_renewing = False
        # An earlier agent process may have renewed the lease just before this one started.
        self._expiry_s = clock_source.now_s() + lease_max_s * CLOCK_DRIFT_RATIO

    @property
    def is_lead_lease_valid(self) -> bool:
        """Whether a lead confirmed its leadership within ``AGENT_LEAD_LEASE_S``."""
        return self._clock.now_s() < self._lead_lease_expiry_s

    @property
    def is_start_lease_valid(self) -> bool:
        """Whether the lead that last confirmed its leadership allows starts now."""
        return self._clock.now_s() < self._start_lease_expiry_s

    @property
    def has_expired(self) -> bool:
        """Whether the lease has certainly expired, whichever renewals the worker received."""
        return self._clock.now_s() > self._expiry_s

    @property
    def is_clock_known(self) -> bool:
        """Whether the worker's clock is known."""
        return self._worker_clock_ms is not None

    def renew_lead_lease(self, requested_s: float, start_lease_s: float | None = None) -> None:
        """Renew the lead's lease, and replace the start lease.

        :param requested_s: when the lead was asked to confirm its leadership, on this VM's clock.
        :param start_lease_s: time from then on in which runs may start, in seconds; ``None`` for no
            limit.
        """
        self._lead_lease_expiry_s = max(self._lead_lease_expiry_s, requested_s + AGENT_LEAD_LEASE_S)
        self._start_lease_expiry_s = (
            float("inf") if start_lease_s is None else requested_s + start_lease_s
        )

    def set_worker_clock(self, clock_ms: int | None) -> None:
        """Set the current reading of the worker's clock, or ``None`` if it became unknown."""
        self._worker_clock_ms = clock_ms
        self._worker_clock_read_s = self._clock.now_s()

    def _worker_clock_min_ms(self) -> float:
        """Return the earliest time that the worker's clock may show now, in milliseconds.

        The reading may be old, such as after a pause of this process; the worker's clock may have
        been slow since.
        """
        age_s = self._clock.now_s() - self._worker_clock_read_s
        age_ms = age_s * MILLISECONDS_PER_SECOND / CLOCK_DRIFT_RATIO
        return (self._worker_clock_ms or 0) + age_ms

    def renew(self, may_renew: bool) -> int | None:
        """Return the expiry of the lease to send, or ``None`` to let the lease expire.

        :param may_renew: whether the worker answered the newest call and has not departed.
        :return: a time on the worker's clock, in milliseconds.
        """
        was_renewing, self.is_renewing = self.is_renewing, self.is_lead_lease_valid
        if was_renewing and not self.is_renewing:
            self._events.record(
                lines.EventKind.LEASE_LAPSED, detail="no lead confirmed its leadership in time"
            )
        if not self.is_renewing or not self.is_clock_known or not may_renew:
            # A worker may accept a renewal without answering. A silent worker is therefore sent no
            # renewals: only then is there a time by which its lease has certainly expired.
            return None
        return self._renew_until(self._lease_max_s, self._worker_clock_min_ms())

    def renew_by_start(self, duration_s: float) -> int:
        """Renew the lease by a start order to send, and return the order's expiry.

        The order is not valid beyond the start lease.

        :param duration_s: how long the order is valid, in seconds on the worker's clock.
        :return: a time on the worker's clock, in milliseconds.
        """
        worker_clock_ms = self._worker_clock_min_ms()
        # Read after the worker's clock, since this process may be paused in between.
        start_lease_s = max(0.0, self._start_lease_expiry_s - self._clock.now_s())
        return self._renew_until(
            min(duration_s, start_lease_s / CLOCK_DRIFT_RATIO), worker_clock_ms
        )

    def _renew_until(self, duration_s: float, worker_clock_ms: float) -> int:
        expiry_ms = int(worker_clock_ms + duration_s * MILLISECONDS_PER_SECOND)
        # Read after the worker's time was computed, since this process may be paused in between.
        expiry_s = self._clock.now_s() + duration_s * CLOCK_DRIFT_RATIO
        self._expiry_s = max(self._expiry_s, expiry_s)
        return expiry_ms
