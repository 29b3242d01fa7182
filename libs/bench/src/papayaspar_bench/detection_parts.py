"""Simulated faulty workers and a router that detects them, for the detection experiment."""

import enum
import random

import anyio
import attrs

from papayaspar_dispatch import attempts
from papayaspar_membership import ejection
from papayaspar_model import clock, errors

SLOTS = 8
FAIL_FAST_S = 0.001
ATTEMPT_TIMEOUT_S = 2.0
CHECK_TIMEOUT_S = 1.0
UNHEALTHY_THRESHOLD = 2
HEALTHY_THRESHOLD = 2
HANG_S = 600.0  # longer than the whole simulation


class Fault(enum.Enum):
    """The kind of a worker's fault.

    ``FAILS_AND_REPORTS`` also fails health checks, ``FAILS`` passes them. ``LEAVES`` rejects
    requests because the worker is draining. With ``REPLACED``, another service runs at the
    worker's address.
    """

    FAILS = "fails"
    FAILS_AND_REPORTS = "fails_and_says_so"
    HANGS = "hangs"
    LEAVES = "leaves"
    REPLACED = "replaced"


@attrs.frozen
class Policy:
    """How a router detects faulty workers.

    :param name: name of the policy in the figures.
    :param passive: whether workers are ejected because of the outcomes of requests.
    :param network_check_interval_s: interval of health checks over the network, in seconds, or
        ``None``.
    :param local_check_interval_s: interval of health checks by the agent on the target's worker,
        which notifies the router when the result changes, in seconds, or ``None``.
    :param immediate: whether a worker is out of service as soon as it rejects a request because it
        is draining.
    :param verifies_identity_in_checks: whether a health check passes only if the intended worker
        answers it.
    :param verifies_identity_in_answers: whether a request succeeds only if the intended worker
        answers it.
    """

    name: str
    passive: bool = False
    network_check_interval_s: float | None = None
    local_check_interval_s: float | None = None
    immediate: bool = False
    verifies_identity_in_checks: bool = False
    verifies_identity_in_answers: bool = False


@attrs.frozen
class WorkerAnswer:
    """The answer to a request or a health check.

    :param identity: name of the service that answers; the worker's name unless it was replaced.
    :param is_healthy: result of the health check.
    """

    identity: str
    is_healthy: bool = True


class Worker:
    """A simulated worker that may be faulty.

    :param name: name of the worker.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.fault: Fault | None = None
        self.busy = 0

    async def run(self, service_s: float) -> WorkerAnswer:
        """Run a request, or behave as the worker's fault prescribes.

        :param service_s: time that the request takes without a fault, in seconds.
        """
        if self.fault is Fault.LEAVES:
            raise errors.DrainingError
        if self.fault in (Fault.FAILS, Fault.FAILS_AND_REPORTS):
            await anyio.sleep(FAIL_FAST_S)
            raise errors.TargetError("the target failed", ran=errors.Ran.UNKNOWN)
        if self.fault is Fault.HANGS:
            await anyio.sleep(HANG_S)
        await anyio.sleep(service_s)
        return WorkerAnswer(self._identity)

    async def check(self) -> WorkerAnswer:
        """Answer a health check."""
        if self.fault is Fault.HANGS:
            await anyio.sleep(HANG_S)
        is_unhealthy = self.fault in (Fault.FAILS_AND_REPORTS, Fault.LEAVES)
        return WorkerAnswer(self._identity, not is_unhealthy)

    @property
    def _identity(self) -> str:
        """Name of the service that runs at the worker's address."""
        return "other" if self.fault is Fault.REPLACED else self.name


@attrs.define
class Health:
    """The health-check state of one worker.

    :param is_out_of_service: whether the router avoids the worker while others are in service.
    :param failures: number of consecutive failed checks.
    :param successes: number of consecutive passed checks.
    """

    is_out_of_service: bool = False
    failures: int = 0
    successes: int = 0

    def record_check(self, has_passed: bool) -> None:
        """Record the result of one check."""
        self.failures = 0 if has_passed else self.failures + 1
        self.successes = self.successes + 1 if has_passed else 0
        if self.failures >= UNHEALTHY_THRESHOLD:
            self.is_out_of_service = True
        if self.successes >= HEALTHY_THRESHOLD:
            self.is_out_of_service = False


@attrs.define
class Counts:
    """Counts of the router's actions since the fault.

    :param sent: requests that arrived.
    :param done: requests that were answered.
    :param wrong: requests that were answered by another service.
    :param attempts: attempts on any worker.
    :param faulty_attempts: attempts on the faulty worker.
    :param checks: health checks over the network.
    :param detected_s: time at which the faulty worker was first out of service, in seconds, or
        ``None``.
    """

    sent: int = 0
    done: int = 0
    wrong: int = 0
    attempts: int = 0
    faulty_attempts: int = 0
    checks: int = 0
    detected_s: float | None = None


class Router:
    """Sends requests to workers and detects faulty ones.

    :param workers: the workers; the first one becomes faulty.
    :param policy: the detection policy.
    :param rng: random generator of the router's choices.
    """

    def __init__(self, workers: list[Worker], policy: Policy, rng: random.Random) -> None:
        self.counts = Counts()
        self._workers = workers
        self._policy = policy
        self._rng = rng
        self._detector = ejection.OutlierDetector(clock.LoopClock(), rng=rng)
        self._health = {worker.name: Health() for worker in workers}
        for worker in workers:
            self._detector.add(worker.name, 1)

    async def serve(self, service_s: float, timeout_s: float) -> None:
        """Send one idempotent request, with retries until its timeout."""
        counts = self.counts
        counts.sent += 1
        tracker = attempts.Attempts(True, anyio.current_time() + timeout_s)
        while tracker.may_send(anyio.current_time()):
            worker = self._choose(tracker.excluded)
            attempt = tracker.begin(worker.name, anyio.current_time())
            try:
                answer = await self._attempt(worker, service_s)
            except errors.PapayasparError as error:
                tracker.fail(attempt, error.ran)
                continue
            tracker.succeed(attempt)
            counts.done += 1
            counts.wrong += answer.identity != worker.name
            return

    async def check_over_network(self, worker: Worker, interval_s: float) -> None:
        """Check the health of one worker periodically, until cancelled."""
        await anyio.sleep(self._rng.uniform(0.0, interval_s))
        while True:
            self.counts.checks += 1
            self._health[worker.name].record_check(await self._passes_check(worker))
            self._record_detection(worker)
            await anyio.sleep(interval_s)

    async def check_locally(self, worker: Worker, interval_s: float) -> None:
        """Check the health of one worker periodically, as its agent does, until cancelled.

        The checks don't count as network traffic, because the agent only reports changes.
        """
        await anyio.sleep(self._rng.uniform(0.0, interval_s))
        while True:
            self._health[worker.name].record_check(await self._passes_check(worker))
            self._record_detection(worker)
            await anyio.sleep(interval_s)

    async def _passes_check(self, worker: Worker) -> bool:
        """Run one health check and return whether it passes."""
        with anyio.move_on_after(CHECK_TIMEOUT_S):
            answer = await worker.check()
            is_accepted = (
                answer.identity == worker.name or not self._policy.verifies_identity_in_checks
            )
            return answer.is_healthy and is_accepted
        return False

    async def _attempt(self, worker: Worker, service_s: float) -> WorkerAnswer:
        """Send a request to one worker and record the outcome in the outlier detector."""
        self.counts.attempts += 1
        self.counts.faulty_attempts += worker is self._workers[0]
        in_flight = self._detector.begin(worker.name)
        outcome = ejection.Outcome.FAILURE
        worker.busy += 1
        try:
            with anyio.move_on_after(ATTEMPT_TIMEOUT_S):
                answer = await worker.run(service_s)
                if self._policy.verifies_identity_in_answers and answer.identity != worker.name:
                    self._health[worker.name].is_out_of_service = True
                    raise errors.TargetError("another service answered", ran=errors.Ran.UNKNOWN)
                outcome = ejection.Outcome.SUCCESS
                return answer
            raise errors.TargetError("no answer within the timeout", ran=errors.Ran.UNKNOWN)
        except errors.DrainingError:
            outcome = ejection.Outcome.NEUTRAL
            if self._policy.immediate:
                self._health[worker.name].is_out_of_service = True
            raise
        finally:
            worker.busy -= 1
            self._detector.finish(in_flight, outcome)
            self._record_detection(worker)

    def _choose(self, excluded: frozenset[str]) -> Worker:
        """Return the least loaded worker in service, or of all workers if none is in service.

        Ties are broken at random.
        """
        usable = [worker for worker in self._workers if worker.name not in excluded]
        admitted = [worker for worker in usable if self._admits(worker)]
        candidates = admitted or usable
        self._rng.shuffle(candidates)
        if not self._policy.passive:
            return min(candidates, key=lambda worker: worker.busy)
        return min(
            candidates, key=lambda worker: self._detector.load(worker.name, worker.busy, SLOTS)
        )

    def _admits(self, worker: Worker) -> bool:
        """Return whether a worker is in service."""
        if self._health[worker.name].is_out_of_service:
            return False
        return not self._policy.passive or self._detector.admits(worker.name, idempotent=True)

    def _record_detection(self, worker: Worker) -> None:
        """Record the time at which the faulty worker is first out of service."""
        if worker is not self._workers[0] or self.counts.detected_s is not None:
            return
        is_ejected = self._detector.status(worker.name) is not ejection.EjectionStatus.ADMITTED
        if self._health[worker.name].is_out_of_service or (self._policy.passive and is_ejected):
            self.counts.detected_s = anyio.current_time()
