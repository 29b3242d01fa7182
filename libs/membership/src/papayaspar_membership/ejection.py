"""Takes workers out of use on the outcomes of requests sent there, and tries them again later.

A worker is an outlier only beside the others: when much of the fleet fails, the cause is the work
or the network, and taking workers out would make it worse. So failures count by how unlikely they
are for a worker like the others (Chernoff's bound on the binomial distribution).
"""

import collections
import enum
import math
import random

import attrs

from papayaspar_model import clock

SUCCESS_RATIO_MIN = 1e-6
EXPONENT_MAX = 16
JITTER_RATIO = 1.25


class Outcome(enum.Enum):
    """How a request ended, as far as it tells of the worker."""

    SUCCESS = "success"
    FAILURE = "failure"
    NEUTRAL = "neutral"


class Standing(enum.Enum):
    """Whether a worker gets work."""

    ADMITTED = "admitted"
    EJECTED = "ejected"
    ON_TRIAL = "on_trial"


@attrs.frozen
class Sending:
    """One request on its way to a worker.

    :param worker: name of the worker.
    :param incarnation: life of the agent it is sent to; 0 for an unknown worker.
    :param is_trial: whether it tries a worker that was ejected.
    """

    worker: str
    incarnation: int
    is_trial: bool


@attrs.frozen
class EjectionLimits:
    """When a worker is taken out of use, and for how long.

    :param consecutive_failures: failures without a success between them that eject.
    :param window_s: how long an outcome counts.
    :param window_outcomes: fewest outcomes in the window for the ratio to say anything.
    :param failure_ratio: share of failures in the window that ejects.
    :param fleet_failure_ratio: share of failures on the other workers above which none is ejected.
    :param fleet_failure_floor_ratio: share of failures that a worker like the others is granted.
    :param false_ejection_chance: largest chance that a worker like the others is ejected on one
        outcome.
    :param ejected_share_ratio: largest share of the workers that may be out of use at once.
    :param first_wait_s: wait before the first trial.
    :param wait_max_s: longest wait; each failed trial doubles it.
    :param trial_successes: successes on trial that re-admit.
    :param forgive_after_s: time without an ejection after which waits start short again.
    """

    consecutive_failures: int = 5
    window_s: float = 10.0
    window_outcomes: int = 10
    failure_ratio: float = 0.5
    fleet_failure_ratio: float = 0.4
    fleet_failure_floor_ratio: float = 0.05
    false_ejection_chance: float = 1e-6
    ejected_share_ratio: float = 0.34
    first_wait_s: float = 5.0
    wait_max_s: float = 300.0
    trial_successes: int = 3
    forgive_after_s: float = 300.0


@attrs.frozen
class _Sample:
    """One outcome and when it came."""

    at_s: float
    has_failed: bool


@attrs.define
class _Track:
    """What is known of one incarnation of a worker."""

    incarnation: int
    standing: Standing = Standing.ADMITTED
    samples: collections.deque[_Sample] = attrs.field(factory=collections.deque)
    failed_samples: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    wait_until_s: float = 0.0
    admitted_at_s: float = 0.0
    trial_successes: int = 0
    trials_under_way: int = 0

    @property
    def failure_ratio(self) -> float:
        """Share of failures in the window."""
        return self.failed_samples / len(self.samples) if self.samples else 0.0


class OutlierDetector:
    """Ejects failing workers on outcomes alone, for one entry.

    :param source: the entry's clock.
    :param limits: when and for how long.
    :param rng: source of the jitter of waits.
    """

    def __init__(
        self,
        source: clock.Clock,
        limits: EjectionLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = source
        self._limits = limits or EjectionLimits()
        self._rng = rng or random.Random()
        self._tracks: dict[str, _Track] = {}

    def join(self, worker: str, incarnation: int) -> None:
        """Know a worker; a newer incarnation starts with a clean record.

        :param worker: name of the worker.
        :param incarnation: life of its agent.
        """
        track = self._tracks.get(worker)
        if track is not None and track.incarnation >= incarnation:
            return
        self._tracks[worker] = _Track(incarnation, admitted_at_s=self._clock.now_s())

    def leave(self, worker: str) -> None:
        """Forget a worker that is gone.

        :param worker: name of the worker.
        """
        self._tracks.pop(worker, None)

    def standing(self, worker: str) -> Standing:
        """Return whether a worker gets work.

        :param worker: name of the worker; an unknown one is admitted.
        """
        track = self._tracks.get(worker)
        if track is None:
            return Standing.ADMITTED
        if track.standing is Standing.EJECTED and self._clock.now_s() >= track.wait_until_s:
            track.standing = Standing.ON_TRIAL
            track.trial_successes = 0
            track.trials_under_way = 0
        return track.standing

    def admits(self, worker: str, idempotent: bool) -> bool:
        """Return whether a request may be sent to a worker now.

        :param worker: name of the worker.
        :param idempotent: whether the request can be sent elsewhere if the worker fails it; only
            such requests serve as trials, one at a time.
        """
        standing = self.standing(worker)
        if standing is Standing.ADMITTED:
            return True
        if standing is Standing.EJECTED:
            return False
        return idempotent and self._tracks[worker].trials_under_way == 0

    def begin(self, worker: str) -> Sending:
        """Note that a request is sent to a worker.

        :param worker: name of the worker.
        :return: what :meth:`finish` wants back.
        """
        track = self._tracks.get(worker)
        if track is None:
            return Sending(worker, 0, is_trial=False)
        is_trial = self.standing(worker) is Standing.ON_TRIAL
        track.trials_under_way += is_trial
        return Sending(worker, track.incarnation, is_trial)

    def finish(self, sending: Sending, outcome: Outcome) -> Standing:
        """Note how a request ended; what was sent to an older life tells nothing of this one.

        :param sending: what :meth:`begin` returned.
        :param outcome: success, failure, or neutral such as a refusal or a cancelled request.
        :return: the worker's standing after it.
        """
        track = self._tracks.get(sending.worker)
        if track is None or track.incarnation != sending.incarnation:
            return self.standing(sending.worker)
        if sending.is_trial:
            track.trials_under_way = max(0, track.trials_under_way - 1)
        if outcome is Outcome.NEUTRAL:
            return track.standing
        self._count(track, outcome)
        if sending.is_trial and track.standing is Standing.ON_TRIAL:
            self._judge_trial(track, outcome)
        elif track.standing is Standing.ADMITTED and self._is_outlier(sending.worker, track):
            self._eject(track)
        return track.standing

    def load(self, worker: str, assigned_slots: int, slots: int) -> float:
        """Return the load by which workers are compared; the least loaded gets the next request.

        A worker that fails fast has free slots all the time. Its load counts as larger by the
        share of requests it fails, so that it draws no more than others, ejected or not.

        :param worker: name of the worker.
        :param assigned_slots: requests sent there that are not answered.
        :param slots: requests it serves at once.
        """
        track = self._tracks.get(worker)
        load = (assigned_slots + 1) / max(1, slots)
        if track is None:
            return load
        self._expire(track)
        return load / max(SUCCESS_RATIO_MIN, 1.0 - track.failure_ratio)

    def _count(self, track: _Track, outcome: Outcome) -> None:
        """Add an outcome to the window."""
        has_failed = outcome is Outcome.FAILURE
        track.samples.append(_Sample(self._clock.now_s(), has_failed))
        track.failed_samples += has_failed
        track.consecutive_failures = track.consecutive_failures + 1 if has_failed else 0
        self._expire(track)

    def _expire(self, track: _Track) -> None:
        """Drop outcomes that are older than the window."""
        oldest_s = self._clock.now_s() - self._limits.window_s
        while track.samples and track.samples[0].at_s < oldest_s:
            track.failed_samples -= track.samples.popleft().has_failed

    def _is_outlier(self, worker: str, track: _Track) -> bool:
        """Return whether a worker fails, the others do not, and the cap leaves room."""
        limits = self._limits
        fleet_ratio = self._others_failure_ratio(worker)
        if fleet_ratio >= limits.fleet_failure_ratio:
            return False
        expected_ratio = max(limits.fleet_failure_floor_ratio, fleet_ratio)
        run = track.consecutive_failures
        by_run = run >= limits.consecutive_failures and self._is_unlikely(run, 1.0, expected_ratio)
        count = len(track.samples)
        has_enough = count >= limits.window_outcomes and track.failure_ratio >= limits.failure_ratio
        by_ratio = has_enough and self._is_unlikely(count, track.failure_ratio, expected_ratio)
        if not by_run and not by_ratio:
            return False
        out_of_use = sum(one.standing is not Standing.ADMITTED for one in self._tracks.values())
        return out_of_use + 1 <= limits.ejected_share_ratio * len(self._tracks)

    def _is_unlikely(self, count: int, failure_ratio: float, expected_ratio: float) -> bool:
        """Return whether a worker like the others would hardly ever fail so often.

        :param count: outcomes looked at.
        :param failure_ratio: share of failures among them.
        :param expected_ratio: share of failures on the others.
        """
        exponent = count * _relative_entropy(failure_ratio, expected_ratio)
        return exponent >= -math.log(self._limits.false_ejection_chance)

    def _others_failure_ratio(self, worker: str) -> float:
        """Return the share of failures over the other workers that are in use."""
        outcomes = 0
        failures = 0
        for name, track in self._tracks.items():
            if name == worker or track.standing is not Standing.ADMITTED:
                continue
            self._expire(track)
            outcomes += len(track.samples)
            failures += track.failed_samples
        return failures / outcomes if outcomes else 0.0

    def _judge_trial(self, track: _Track, outcome: Outcome) -> None:
        """Re-admit a worker on trial, or eject it for longer."""
        if outcome is Outcome.FAILURE:
            self._eject(track)
            return
        track.trial_successes += 1
        if track.trial_successes < self._limits.trial_successes:
            return
        track.standing = Standing.ADMITTED
        track.admitted_at_s = self._clock.now_s()
        track.samples.clear()
        track.failed_samples = 0

    def _eject(self, track: _Track) -> None:
        """Take a worker out of use, longer each time."""
        now_s = self._clock.now_s()
        was_admitted = track.standing is Standing.ADMITTED
        if was_admitted and now_s - track.admitted_at_s >= self._limits.forgive_after_s:
            track.ejections = 0
        wait_s = min(
            self._limits.wait_max_s,
            self._limits.first_wait_s * 2 ** min(track.ejections, EXPONENT_MAX),
        )
        track.ejections += 1
        track.standing = Standing.EJECTED
        track.wait_until_s = now_s + wait_s * self._rng.uniform(1.0, JITTER_RATIO)
        track.consecutive_failures = 0


def _relative_entropy(ratio: float, expected_ratio: float) -> float:
    """Return the relative entropy of two yes-or-no distributions, in nats.

    :param ratio: share of yes that was seen, at least the expected one.
    :param expected_ratio: share of yes that was expected, between 0 and 1.
    """
    found = ratio * math.log(ratio / expected_ratio)
    if ratio < 1.0:
        found += (1.0 - ratio) * math.log((1.0 - ratio) / (1.0 - expected_ratio))
    return found
