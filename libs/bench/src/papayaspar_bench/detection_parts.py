"""Workers that go wrong and a router that notices, for the detection experiment."""

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
PROBE_TIMEOUT_S = 1.0
UNHEALTHY_PROBES = 2
HEALTHY_PROBES = 2
HANG_S = 600.0


class Fault(enum.Enum):
    """How a worker goes wrong."""

    FAILS = "fails"
    FAILS_AND_SAYS_SO = "fails_and_says_so"
    HANGS = "hangs"
    LEAVES = "leaves"
    REPLACED = "replaced"


@attrs.frozen
class Policy:
    """How a router notices.

    :param name: name in the figures.
    :param passive: whether outcomes of requests eject.
    :param probe_interval_s: time between health checks over the network, or ``None``.
    :param local_interval_s: time between health checks by the agent beside the target, which
        tells the router when the result changes, or ``None``.
    :param immediate: whether a worker that says it is leaving is out at once.
    :param checks_identity: whether a health check must name the worker that was meant.
    :param answers_identity: whether an answer must name it.
    """

    name: str
    passive: bool = False
    probe_interval_s: float | None = None
    local_interval_s: float | None = None
    immediate: bool = False
    checks_identity: bool = False
    answers_identity: bool = False


@attrs.frozen
class Told:
    """What a worker answers to a request or a health check.

    :param identity: name of the service that answers.
    :param is_healthy: result of the check.
    """

    identity: str
    is_healthy: bool = True


class Worker:
    """A worker that may go wrong.

    :param name: its name.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.fault: Fault | None = None
        self.busy = 0

    async def run(self, service_s: float) -> Told:
        """Run a request."""
        if self.fault is Fault.LEAVES:
            raise errors.DrainingError
        if self.fault in (Fault.FAILS, Fault.FAILS_AND_SAYS_SO):
            await anyio.sleep(FAIL_FAST_S)
            raise errors.TargetError("fails", ran=errors.Ran.UNKNOWN)
        if self.fault is Fault.HANGS:
            await anyio.sleep(HANG_S)
        await anyio.sleep(service_s)
        return Told(self._identity)

    async def check(self) -> Told:
        """Answer a health check."""
        if self.fault is Fault.HANGS:
            await anyio.sleep(HANG_S)
        is_sick = self.fault in (Fault.FAILS_AND_SAYS_SO, Fault.LEAVES)
        return Told(self._identity, not is_sick)

    @property
    def _identity(self) -> str:
        """Name of the service that runs at the worker's address."""
        return "other" if self.fault is Fault.REPLACED else self.name


@attrs.define
class Health:
    """What health checks say of one worker.

    :param is_out: whether it is out of use.
    :param failures: failed checks in a row.
    :param successes: passed checks in a row.
    """

    is_out: bool = False
    failures: int = 0
    successes: int = 0

    def note(self, has_passed: bool) -> None:
        """Take the result of one check."""
        self.failures = 0 if has_passed else self.failures + 1
        self.successes = self.successes + 1 if has_passed else 0
        if self.failures >= UNHEALTHY_PROBES:
            self.is_out = True
        if self.successes >= HEALTHY_PROBES:
            self.is_out = False


@attrs.define
class Counts:
    """What the router did since the fault.

    :param sent: requests that came.
    :param done: requests that had an answer.
    :param wrong: answers passed on that came from another service.
    :param attempts: sendings to any worker.
    :param bad_attempts: sendings to the worker that went wrong.
    :param checks: health checks over the network.
    :param out_at_s: when the bad worker was first out of use, or ``None``.
    """

    sent: int = 0
    done: int = 0
    wrong: int = 0
    attempts: int = 0
    bad_attempts: int = 0
    checks: int = 0
    out_at_s: float | None = None


class Router:
    """Sends requests to workers and notices those that go wrong.

    :param workers: the workers; the first is the one that goes wrong.
    :param policy: how it notices.
    :param rng: source of its choices.
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
        """Serve one idempotent request."""
        counts = self.counts
        counts.sent += 1
        tries = attempts.Attempts(True, anyio.current_time() + timeout_s)
        while tries.may_send(anyio.current_time()):
            worker = self._choose(tries.excluded)
            attempt = tries.begin(worker.name, anyio.current_time())
            try:
                told = await self._attempt(worker, service_s)
            except errors.PapayasparError as error:
                tries.fail(attempt, error.ran)
                continue
            tries.succeed(attempt)
            counts.done += 1
            counts.wrong += told.identity != worker.name
            return

    async def check_over_network(self, worker: Worker, interval_s: float) -> None:
        """Check one worker for ever."""
        await anyio.sleep(self._rng.uniform(0.0, interval_s))
        while True:
            self.counts.checks += 1
            self._health[worker.name].note(await self._passes(worker))
            self._note_out(worker)
            await anyio.sleep(interval_s)

    async def check_beside_target(self, worker: Worker, interval_s: float) -> None:
        """Check one worker for ever, as its agent does, and take word of changes only."""
        await anyio.sleep(self._rng.uniform(0.0, interval_s))
        while True:
            self._health[worker.name].note(await self._passes(worker))
            self._note_out(worker)
            await anyio.sleep(interval_s)

    async def _passes(self, worker: Worker) -> bool:
        """Return whether one check passes."""
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            told = await worker.check()
            is_meant = told.identity == worker.name or not self._policy.checks_identity
            return told.is_healthy and is_meant
        return False

    async def _attempt(self, worker: Worker, service_s: float) -> Told:
        """Send a request to one worker and judge the worker by the outcome."""
        self.counts.attempts += 1
        self.counts.bad_attempts += worker is self._workers[0]
        sending = self._detector.begin(worker.name)
        outcome = ejection.Outcome.FAILURE
        worker.busy += 1
        try:
            with anyio.move_on_after(ATTEMPT_TIMEOUT_S):
                told = await worker.run(service_s)
                if self._policy.answers_identity and told.identity != worker.name:
                    self._health[worker.name].is_out = True
                    raise errors.TargetError("another service", ran=errors.Ran.UNKNOWN)
                outcome = ejection.Outcome.SUCCESS
                return told
            raise errors.TargetError("no answer", ran=errors.Ran.UNKNOWN)
        except errors.DrainingError:
            outcome = ejection.Outcome.NEUTRAL
            if self._policy.immediate:
                self._health[worker.name].is_out = True
            raise
        finally:
            worker.busy -= 1
            self._detector.finish(sending, outcome)
            self._note_out(worker)

    def _choose(self, excluded: frozenset[str]) -> Worker:
        """Return the least loaded worker in use, among equals any."""
        usable = [worker for worker in self._workers if worker.name not in excluded]
        admitted = [worker for worker in usable if self._admits(worker)]
        candidates = admitted or usable
        self._rng.shuffle(candidates)
        if not self._policy.passive:
            return min(candidates, key=lambda worker: worker.busy)
        return min(candidates, key=lambda one: self._detector.load(one.name, one.busy, SLOTS))

    def _admits(self, worker: Worker) -> bool:
        """Return whether a worker is in use."""
        if self._health[worker.name].is_out:
            return False
        return not self._policy.passive or self._detector.admits(worker.name, idempotent=True)

    def _note_out(self, worker: Worker) -> None:
        """Note when the bad worker is first out of use."""
        if worker is not self._workers[0] or self.counts.out_at_s is not None:
            return
        is_ejected = self._detector.status(worker.name) is not ejection.EjectionStatus.ADMITTED
        if self._health[worker.name].is_out or (self._policy.passive and is_ejected):
            self.counts.out_at_s = anyio.current_time()
