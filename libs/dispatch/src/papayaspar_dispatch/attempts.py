"""Whether a request may be sent to a worker once more."""

import math

import attrs

from papayaspar_model import errors

ATTEMPTS_MAX = 3
MILLISECONDS_PER_SECOND = 1000


@attrs.define
class Attempt:
    """One sending of a request to a worker.

    :param number: its number, from 1.
    :param worker: the worker.
    :param ran: whether it may have run; unknown until its end is known.
    :param has_failed: whether it ended in failure.
    :param is_withdrawn: whether the worker refused it for want of a slot, which is no failure.
    """

    number: int
    worker: str
    ran: errors.Ran = errors.Ran.UNKNOWN
    has_failed: bool = False
    is_withdrawn: bool = False


class Attempts:
    """The sendings of one request; a retry follows from ``ran`` and ``idempotent`` alone.

    :param idempotent: whether running it twice does no harm.
    :param deadline_s: reading of the entry's clock after which no answer helps.
    :param attempts_max: most sendings.
    """

    def __init__(
        self, idempotent: bool, deadline_s: float, attempts_max: int = ATTEMPTS_MAX
    ) -> None:
        self._idempotent = idempotent
        self._deadline_s = deadline_s
        self._attempts_max = attempts_max
        self._attempts: list[Attempt] = []

    @property
    def ran(self) -> errors.Ran:
        """Whether the request may have run, over all attempts."""
        seen = {attempt.ran for attempt in self._attempts}
        if errors.Ran.YES in seen:
            return errors.Ran.YES
        if errors.Ran.UNKNOWN in seen:
            return errors.Ran.UNKNOWN
        return errors.Ran.NO

    @property
    def excluded(self) -> frozenset[str]:
        """Workers that failed it; a retry goes elsewhere."""
        return frozenset(attempt.worker for attempt in self._attempts if attempt.has_failed)

    @property
    def count(self) -> int:
        """How often it was sent to a worker that took it."""
        return sum(not attempt.is_withdrawn for attempt in self._attempts)

    def remaining_ms(self, now_s: float) -> int:
        """Return the time left, which travels with each attempt.

        :param now_s: reading of the entry's clock.
        """
        return max(0, math.floor((self._deadline_s - now_s) * MILLISECONDS_PER_SECOND))

    def check_may_send(self, now_s: float) -> None:
        """Raise the error to answer with unless one more attempt may be sent.

        :param now_s: reading of the entry's clock.
        :raises papayaspar_model.errors.OutcomeUnknownError: when it may have run and must not
            run again.
        :raises papayaspar_model.errors.DeadlineError: when no time is left.
        :raises papayaspar_model.errors.UnavailableError: when it was sent often enough.
        """
        if not self._idempotent and self.ran is not errors.Ran.NO:
            raise errors.OutcomeUnknownError("an earlier attempt may have run")
        if self.remaining_ms(now_s) == 0:
            raise errors.DeadlineError(ran=self.ran)
        if self.count >= self._attempts_max:
            raise errors.UnavailableError(f"{self.count} attempts failed", ran=self.ran)

    def may_send(self, now_s: float) -> bool:
        """Return whether one more attempt may be sent.

        :param now_s: reading of the entry's clock.
        """
        try:
            self.check_may_send(now_s)
        except errors.PapayasparError:
            return False
        return True

    def begin(self, worker: str, now_s: float) -> Attempt:
        """Begin an attempt, which counts as possibly run from here on.

        :param worker: where it is sent.
        :param now_s: reading of the entry's clock.
        :return: the attempt; end it with :meth:`fail` or :meth:`succeed`.
        """
        self.check_may_send(now_s)
        attempt = Attempt(len(self._attempts) + 1, worker)
        self._attempts.append(attempt)
        return attempt

    def fail(self, attempt: Attempt, ran: errors.Ran) -> None:
        """End an attempt that failed.

        :param attempt: the attempt.
        :param ran: whether it may have run, by whoever knows.
        """
        attempt.ran = ran
        attempt.has_failed = True

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt that the worker had no slot for; it counts as never sent.

        :param attempt: the attempt.
        """
        attempt.ran = errors.Ran.NO
        attempt.is_withdrawn = True

    def succeed(self, attempt: Attempt) -> None:
        """End an attempt whose whole answer is here."""
        attempt.ran = errors.Ran.YES
