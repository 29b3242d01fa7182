"""The lease of a worker: who lets it be renewed, until when, and when it must have run out."""

from papayaspar_events import journal, lines
from papayaspar_model import clock

MILLISECONDS_PER_SECOND = 1000.0
# A worker's clock may be this much slow (protocol page: 2%), with room for rounding.
CLOCK_DRIFT_RATIO = 1.025
# An agent renews the lease for so long after a lead last vouched for it, in seconds: a dead lead is
# replaced within 2 s plus the time to dial the agents.
ORPHAN_S = 6.0


class Lease:
    """The lease of one worker, as its agent counts it.

    :param lease_max_s: longest lease that a worker grants, in seconds on its own clock.
    :param source: clock that counts suspension.
    :param events: where the end of renewals is recorded.
    """

    def __init__(self, lease_max_s: float, source: clock.Clock, events: journal.Journal) -> None:
        self._lease_max_s = lease_max_s
        self._clock = source
        self._events = events
        self._vouched_until_s = 0.0
        self._clock_offset_ms: float | None = None
        self.is_renewing = False
        # An earlier process may have renewed the lease until just now.
        self._until_s = source.now_s() + lease_max_s * CLOCK_DRIFT_RATIO

    @property
    def is_vouched(self) -> bool:
        """Whether a lead held the duty lately."""
        return self._clock.now_s() < self._vouched_until_s

    @property
    def has_run_out(self) -> bool:
        """Whether no renewal that was sent can hold any more."""
        return self._clock.now_s() > self._until_s

    @property
    def is_clock_known(self) -> bool:
        """Whether the worker has said what its clock shows."""
        return self._clock_offset_ms is not None

    @property
    def worker_clock_ms(self) -> int:
        """The worker's steady clock, in milliseconds."""
        return int(self._clock.now_s() * MILLISECONDS_PER_SECOND + (self._clock_offset_ms or 0.0))

    def vouch(self, asked_s: float) -> None:
        """Note that a lead held the duty when it was asked at a time on this machine's clock."""
        self._vouched_until_s = max(self._vouched_until_s, asked_s + ORPHAN_S)

    def set_worker_clock(self, clock_ms: int | None) -> None:
        """Take in what the worker's clock shows now, or that it is not known any more."""
        if clock_ms is None:
            self._clock_offset_ms = None
            return
        self._clock_offset_ms = clock_ms - self._clock.now_s() * MILLISECONDS_PER_SECOND

    def renew(self, is_answering: bool) -> int | None:
        """Return the end of the lease to send, or ``None`` to let it run out.

        :param is_answering: whether the worker answered the newest call.
        :return: a time on the worker's clock, in milliseconds.
        """
        was_renewing, self.is_renewing = self.is_renewing, self.is_vouched
        if was_renewing and not self.is_renewing:
            self._events.record(lines.EventKind.LEASE_LAPSED, detail="no lead vouches any more")
        if not self.is_renewing or not self.is_clock_known or not is_answering:
            # A renewal without an answer may have been taken: a silent worker is sent none, so that
            # there is a moment after which its lease has run out.
            return None
        until_s = self._clock.now_s() + self._lease_max_s * CLOCK_DRIFT_RATIO
        self._until_s = max(self._until_s, until_s)
        return self.worker_clock_ms + int(self._lease_max_s * MILLISECONDS_PER_SECOND)
