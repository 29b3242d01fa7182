"""Retry decisions: whether a request may be sent to another worker."""

import math

import attrs

from papayaspar_model import errors

ATTEMPTS_MAX = 3
MILLISECONDS_PER_SECOND = 1000


@attrs.define
class Attempt:
    """One attempt to run a request on a worker.

    :param number: number of the attempt, from 1.
    :param worker: name of the worker.
    :param ran: whether the request may have run; unknown until the attempt has a result.
    :param has_failed: whether the attempt failed.
    :param is_withdrawn: whether the worker refused it because no slot was free; such an attempt
        does not count as a failure.
    """

    number: int
    worker: str
    ran: errors.Ran = errors.Ran.UNKNOWN
    has_failed: bool = False
    is_withdrawn: bool = False


class Attempts:
    """The attempts of one request, and whether another one may be sent.

    Whether a retry is safe depends only on ``ran`` and ``idempotent``, not on the kind of failure.

    :param idempotent: whether the request may safely run more than once.
    :param deadline_s: deadline of the request, as a reading of the entry's clock.
    :param attempts_max: maximum number of attempts.
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
        outcomes = {attempt.ran for attempt in self._attempts}
        if errors.Ran.YES in outcomes:
            return errors.Ran.YES
        if errors.Ran.UNKNOWN in outcomes:
            return errors.Ran.UNKNOWN
        return errors.Ran.NO

    @property
    def excluded(self) -> frozenset[str]:
        """Workers on which an attempt failed; a retry uses another worker."""
        return frozenset(attempt.worker for attempt in self._attempts if attempt.has_failed)

    @property
    def count(self) -> int:
        """Number of attempts, without those that were withdrawn."""
        return sum(not attempt.is_withdrawn for attempt in self._attempts)

    def remaining_ms(self, now_s: float) -> int:
        """Return the time until the deadline in milliseconds, which is sent with each attempt.

        :param now_s: reading of the entry's clock.
        """
        return max(0, math.floor((self._deadline_s - now_s) * MILLISECONDS_PER_SECOND))

    def check_may_send(self, now_s: float) -> None:
        """Raise the error for the caller unless another attempt may be sent.

        :param now_s: reading of the entry's clock.
        :raises papayaspar_model.errors.OutcomeUnknownError: if a non-idempotent request may have
            run.
        :raises papayaspar_model.errors.DeadlineError: if the deadline has passed.
        :raises papayaspar_model.errors.UnavailableError: if the maximum number of attempts is
            reached.
        """
        if not self._idempotent and self.ran is not errors.Ran.NO:
            raise errors.OutcomeUnknownError("an earlier attempt may have run")
        if self.remaining_ms(now_s) == 0:
            raise errors.DeadlineError(ran=self.ran)
        if self.count >= self._attempts_max:
            raise errors.UnavailableError(f"{self.count} attempts failed", ran=self.ran)

    def may_send(self, now_s: float) -> bool:
        """Return whether another attempt may be sent.

        :param now_s: reading of the entry's clock.
        """
        try:
            self.check_may_send(now_s)
        except errors.PapayasparError:
            return False
        return True

    def begin(self, worker: str, now_s: float) -> Attempt:
        """Begin an attempt; the request may have run from now on.

        :param worker: name of the worker that the attempt is sent to.
        :param now_s: reading of the entry's clock.
        :return: the attempt; end it with :meth:`fail` or :meth:`succeed`.
        """
        self.check_may_send(now_s)
        attempt = Attempt(len(self._attempts) + 1, worker)
        self._attempts.append(attempt)
        return attempt

    def fail(self, attempt: Attempt, ran: errors.Ran) -> None:
        """Record that an attempt failed.

        :param attempt: the attempt.
        :param ran: whether the request may have run in this attempt.
        """
        attempt.ran = ran
        attempt.has_failed = True

    def withdraw(self, attempt: Attempt) -> None:
        """Record that the worker had no free slot; the attempt counts as never sent.

        :param attempt: the attempt.
        """
        attempt.ran = errors.Ran.NO
        attempt.is_withdrawn = True

    def succeed(self, attempt: Attempt) -> None:
        """Record that the complete answer of an attempt was received."""
        attempt.ran = errors.Ran.YES
