"""Outlier ejection: excludes workers with bad request outcomes and re-admits them after trials.

A worker is an outlier only relative to the other workers. When many workers fail, the cause is the
work or the network, and ejecting workers would add to the problem. The criterion is therefore how
unlikely the failures are for a worker that behaves like the others (Chernoff bound on the binomial
distribution).
"""

import collections
import enum
import math
import random

import attrs

from papayaspar_model import clock

SUCCESS_RATIO_MIN = 1e-6  # avoids a division by zero
BACKOFF_EXPONENT_MAX = 16
JITTER_MAX_FACTOR = 1.25


class Outcome(enum.Enum):
    """Outcome of a request, as evidence about its worker."""

    SUCCESS = "success"
    FAILURE = "failure"
    NEUTRAL = "neutral"


class EjectionStatus(enum.Enum):
    """Ejection state of a worker."""

    ADMITTED = "admitted"
    EJECTED = "ejected"
    ON_TRIAL = "on_trial"


@attrs.frozen
class InFlightRequest:
    """One request in flight to a worker.

    :param worker: name of the worker.
    :param incarnation: incarnation of the agent it is sent to; 0 for an unknown worker.
    :param period: period of the worker's state in which it is sent; each ejection begins one.
    :param is_trial: whether it is a trial of an ejected worker.
    """

    worker: str
    incarnation: int
    period: int
    is_trial: bool


@attrs.frozen
class EjectionLimits:
    """Thresholds and durations of ejection.

    :param consecutive_failures: consecutive failures that may eject a worker.
    :param window_s: length of the sliding window of outcomes in seconds.
    :param window_outcomes: minimum number of outcomes in the window to evaluate the failure ratio.
    :param failure_ratio: failure ratio in the window that may eject a worker, from 0 to 1.
    :param fleet_failure_ratio: failure ratio of the other workers at which no worker is ejected.
    :param expected_failure_min_ratio: lower bound of the failure ratio that is expected of a
        worker.
    :param false_ejection_chance: maximum probability that one outcome ejects a worker that
        behaves like the others.
    :param ejected_share_ratio: maximum share of workers that are ejected or on trial at once.
    :param initial_backoff_s: time from the first ejection to the trial, in seconds.
    :param backoff_max_s: maximum time to a trial in seconds; each failed trial doubles the time.
    :param trial_successes: successful trials that re-admit a worker.
    :param backoff_reset_s: time without an ejection that resets the backoff, in seconds.
    """

    consecutive_failures: int = 5
    window_s: float = 10.0
    window_outcomes: int = 10
    failure_ratio: float = 0.5
    fleet_failure_ratio: float = 0.4
    expected_failure_min_ratio: float = 0.05
    false_ejection_chance: float = 1e-6
    ejected_share_ratio: float = 0.34
    initial_backoff_s: float = 5.0
    backoff_max_s: float = 300.0
    trial_successes: int = 3
    backoff_reset_s: float = 300.0


@attrs.frozen
class _Sample:
    """One outcome, its time, and the event that caused it if that may cause others too."""

    at_s: float
    has_failed: bool
    cause: object | None = None


@attrs.define
class _WorkerState:
    """Outcomes and ejection state of one incarnation of a worker."""

    incarnation: int
    period: int = 0
    status: EjectionStatus = EjectionStatus.ADMITTED
    samples: collections.deque[_Sample] = attrs.field(factory=collections.deque)
    failed_samples: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    admitted_at_s: float = 0.0
    trial_successes: int = 0
    trials_in_flight: int = 0

    @property
    def failure_ratio(self) -> float:
        """Share of failures in the window."""
        return self.failed_samples / len(self.samples) if self.samples else 0.0


class OutlierDetector:
    """Passive outlier detector of one entry, based only on request outcomes.

    :param clock_source: the entry's clock.
    :param limits: thresholds and durations.
    :param rng: random number generator for the jitter of backoffs.
    """

    def __init__(
        self,
        clock_source: clock.Clock,
        limits: EjectionLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock_source
        self._limits = limits or EjectionLimits()
        self._rng = rng or random.Random()
        self._states: dict[str, _WorkerState] = {}

    def add(self, worker: str, incarnation: int) -> None:
        """Add a worker; a newer incarnation starts without outcomes.

        :param worker: name of the worker.
        :param incarnation: incarnation of its agent.
        """
        state = self._states.get(worker)
        if state is not None and state.incarnation >= incarnation:
            return
        self._states[worker] = _WorkerState(incarnation, admitted_at_s=self._clock.now_s())

    def remove(self, worker: str) -> None:
        """Remove a worker.

        :param worker: name of the worker.
        """
        self._states.pop(worker, None)

    def status(self, worker: str) -> EjectionStatus:
        """Return the ejection state of a worker.

        :param worker: name of the worker; an unknown worker is admitted.
        """
        state = self._states.get(worker)
        if state is None:
            return EjectionStatus.ADMITTED
        if state.status is EjectionStatus.EJECTED and self._clock.now_s() >= state.ejected_until_s:
            state.status = EjectionStatus.ON_TRIAL
            state.trial_successes = 0
            state.trials_in_flight = 0
        return state.status

    def admits(self, worker: str, idempotent: bool) -> bool:
        """Return whether a request may be sent to a worker now.

        :param worker: name of the worker.
        :param idempotent: whether the request can be retried on another worker; only such
            requests are used as trials, one at a time.
        """
        status = self.status(worker)
        if status is EjectionStatus.ADMITTED:
            return True
        if status is EjectionStatus.EJECTED:
            return False
        return idempotent and self._states[worker].trials_in_flight == 0

    def begin(self, worker: str) -> InFlightRequest:
        """Record that a request is sent to a worker.

        :param worker: name of the worker.
        :return: the request in flight, to be passed to :meth:`finish`.
        """
        state = self._states.get(worker)
        if state is None:
            return InFlightRequest(worker, 0, 0, is_trial=False)
        is_trial = self.status(worker) is EjectionStatus.ON_TRIAL
        state.trials_in_flight += is_trial
        return InFlightRequest(worker, state.incarnation, state.period, is_trial)

    def finish(
        self, request: InFlightRequest, outcome: Outcome, cause: object | None = None
    ) -> EjectionStatus:
        """Record the outcome of a request.

        Outcomes of older incarnations are ignored, and so are those of requests sent before the
        newest ejection, which took their like into account.

        :param request: the result of :meth:`begin`.
        :param outcome: success, failure, or neutral such as a refusal or a cancelled request.
        :param cause: identity of an event that may end several requests, such as the stream that
            was lost; outcomes with the same cause count as one.
        :return: the worker's ejection state afterwards.
        """
        state = self._states.get(request.worker)
        if state is None or state.incarnation != request.incarnation:
            return self.status(request.worker)
        if state.period != request.period:
            return state.status
        if request.is_trial:
            state.trials_in_flight = max(0, state.trials_in_flight - 1)
        if outcome is Outcome.NEUTRAL:
            return state.status
        is_new = self._record_outcome(state, outcome, cause)
        if request.is_trial and state.status is EjectionStatus.ON_TRIAL:
            self._apply_trial(state, outcome)
        elif (
            is_new
            and state.status is EjectionStatus.ADMITTED
            and self._is_outlier(request.worker, state)
        ):
            self._eject(state)
        return state.status

    def load(self, worker: str, assigned_slots: int, slots: int) -> float:
        """Return the load for load balancing; the worker with the lowest load is chosen.

        A worker that fails fast always has free slots. Its load is divided by its success ratio,
        so that it attracts no more requests than other workers, whether or not it is ejected.

        :param worker: name of the worker.
        :param assigned_slots: number of requests in flight to the worker.
        :param slots: number of requests it serves concurrently.
        """
        state = self._states.get(worker)
        load = (assigned_slots + 1) / max(1, slots)
        if state is None:
            return load
        self._expire(state)
        return load / max(SUCCESS_RATIO_MIN, 1.0 - state.failure_ratio)

    def _record_outcome(self, state: _WorkerState, outcome: Outcome, cause: object | None) -> bool:
        """Add an outcome to the window; return whether it is the first one of its cause."""
        self._expire(state)
        if cause is not None and any(sample.cause is cause for sample in state.samples):
            return False
        has_failed = outcome is Outcome.FAILURE
        state.samples.append(_Sample(self._clock.now_s(), has_failed, cause))
        state.failed_samples += has_failed
        state.consecutive_failures = state.consecutive_failures + 1 if has_failed else 0
        return True

    def _expire(self, state: _WorkerState) -> None:
        """Drop outcomes that are older than the window."""
        window_start_s = self._clock.now_s() - self._limits.window_s
        while state.samples and state.samples[0].at_s < window_start_s:
            state.failed_samples -= state.samples.popleft().has_failed

    def _is_outlier(self, worker: str, state: _WorkerState) -> bool:
        """Return whether a worker is an outlier and may be ejected within the share limit."""
        limits = self._limits
        fleet_ratio = self._other_workers_failure_ratio(worker)
        if fleet_ratio >= limits.fleet_failure_ratio:
            return False
        expected_ratio = max(limits.expected_failure_min_ratio, fleet_ratio)
        consecutive = state.consecutive_failures
        by_consecutive = consecutive >= limits.consecutive_failures and self._is_unlikely(
            consecutive, 1.0, expected_ratio
        )
        count = len(state.samples)
        exceeds_ratio = (
            count >= limits.window_outcomes and state.failure_ratio >= limits.failure_ratio
        )
        by_ratio = exceeds_ratio and self._is_unlikely(count, state.failure_ratio, expected_ratio)
        if not by_consecutive and not by_ratio:
            return False
        unavailable = sum(
            other.status is not EjectionStatus.ADMITTED for other in self._states.values()
        )
        return unavailable + 1 <= limits.ejected_share_ratio * len(self._states)

    def _is_unlikely(self, count: int, failure_ratio: float, expected_ratio: float) -> bool:
        """Return whether a worker like the others is very unlikely to fail this often.

        :param count: number of outcomes.
        :param failure_ratio: share of failures among the outcomes.
        :param expected_ratio: expected share of failures, from the other workers.
        """
        exponent = count * _relative_entropy(failure_ratio, expected_ratio)
        return exponent >= -math.log(self._limits.false_ejection_chance)

    def _other_workers_failure_ratio(self, worker: str) -> float:
        """Return the failure ratio of the other admitted workers."""
        outcomes = 0
        failures = 0
        for name, state in self._states.items():
            if name == worker or state.status is not EjectionStatus.ADMITTED:
                continue
            self._expire(state)
            outcomes += len(state.samples)
            failures += state.failed_samples
        return failures / outcomes if outcomes else 0.0

    def _apply_trial(self, state: _WorkerState, outcome: Outcome) -> None:
        """Re-admit a worker after enough successful trials; eject it again after a failed trial."""
        if outcome is Outcome.FAILURE:
            self._eject(state)
            return
        state.trial_successes += 1
        if state.trial_successes < self._limits.trial_successes:
            return
        state.status = EjectionStatus.ADMITTED
        state.admitted_at_s = self._clock.now_s()
        state.samples.clear()
        state.failed_samples = 0

    def _eject(self, state: _WorkerState) -> None:
        """Eject a worker, with exponential backoff and jitter."""
        now_s = self._clock.now_s()
        was_admitted = state.status is EjectionStatus.ADMITTED
        if was_admitted and now_s - state.admitted_at_s >= self._limits.backoff_reset_s:
            state.ejections = 0
        backoff_s = min(
            self._limits.backoff_max_s,
            self._limits.initial_backoff_s * 2 ** min(state.ejections, BACKOFF_EXPONENT_MAX),
        )
        state.ejections += 1
        state.period += 1
        state.status = EjectionStatus.EJECTED
        state.ejected_until_s = now_s + backoff_s * self._rng.uniform(1.0, JITTER_MAX_FACTOR)
        state.consecutive_failures = 0


def _relative_entropy(ratio: float, expected_ratio: float) -> float:
    """Return the relative entropy of two Bernoulli distributions, in nats.

    :param ratio: observed probability of the event, at least the expected one.
    :param expected_ratio: expected probability of the event, between 0 and 1.
    """
    entropy_nats = ratio * math.log(ratio / expected_ratio)
    if ratio < 1.0:
        entropy_nats += (1.0 - ratio) * math.log((1.0 - ratio) / (1.0 - expected_ratio))
    return entropy_nats
