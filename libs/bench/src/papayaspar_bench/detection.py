"""Experiment: how fast faulty workers are detected, and at what cost."""

import random

import anyio
import attrs

from papayaspar_bench import detection_parts, experiments, virtual_time

Fault = detection_parts.Fault
Policy = detection_parts.Policy

WORKERS = 11
FAULT_AT_S = 10.0
END_S = 30.0
ARRIVALS_PER_S = 40.0
SERVICE_MEAN_S = 0.6
REQUEST_TIMEOUT_S = 5.0
CHECK_SIZE_BYTES = 300

NO_DETECTION = Policy("none")
PASSIVE = Policy("passive", passive=True)
ACTIVE_FAST = Policy("active_1s", network_check_interval_s=1.0)
ACTIVE_SLOW = Policy("active_5s", network_check_interval_s=5.0)
ACTIVE_SLOW_PASSIVE = Policy("active_5s_passive", passive=True, network_check_interval_s=5.0)
LOCAL_PASSIVE = Policy("local_1s_passive", passive=True, local_check_interval_s=1.0)

POLICIES: dict[Fault, tuple[Policy, ...]] = {
    Fault.FAILS: (NO_DETECTION, PASSIVE, ACTIVE_FAST, ACTIVE_SLOW_PASSIVE, LOCAL_PASSIVE),
    Fault.FAILS_AND_REPORTS: (
        PASSIVE,
        ACTIVE_FAST,
        ACTIVE_SLOW,
        ACTIVE_SLOW_PASSIVE,
        LOCAL_PASSIVE,
    ),
    Fault.HANGS: (
        NO_DETECTION,
        PASSIVE,
        ACTIVE_FAST,
        ACTIVE_SLOW,
        ACTIVE_SLOW_PASSIVE,
        LOCAL_PASSIVE,
    ),
    Fault.LEAVES: (
        PASSIVE,
        ACTIVE_SLOW,
        attrs.evolve(ACTIVE_SLOW, name="active_5s_immediate", immediate=True),
        attrs.evolve(PASSIVE, name="passive_immediate", immediate=True),
    ),
    Fault.REPLACED: (
        PASSIVE,
        ACTIVE_FAST,
        attrs.evolve(ACTIVE_FAST, name="active_1s_identity", verifies_identity_in_checks=True),
        attrs.evolve(PASSIVE, name="passive_identity", verifies_identity_in_answers=True),
    ),
}


class Detection(experiments.Experiment):
    """Compares health checks, outlier ejection and their combination for each kind of fault."""

    name = "detection"
    summary = "time to detect a faulty worker, requests lost to it, and the cost of checks"

    def run(self, seed: int) -> experiments.Outcome:
        """Run every fault under every policy in virtual time."""
        figures: dict[str, float] = {}
        for fault, policies in POLICIES.items():
            for policy in policies:
                simulation = _FaultSimulation(fault, policy, seed)
                virtual_time.run(simulation.simulate, f"{seed}-{fault.value}-{policy.name}")
                figures.update(simulation.figures())
        return experiments.Outcome(self.name, seed, figures)


class _FaultSimulation:
    """A simulation of one fault under one policy; the arrivals are the same for every policy."""

    def __init__(self, fault: Fault, policy: Policy, seed: int) -> None:
        self._fault = fault
        self._policy = policy
        self._arrivals = random.Random(f"{seed}-arrivals")
        self._workers = [detection_parts.Worker(f"w{number}") for number in range(WORKERS)]
        self._rng = random.Random(f"{seed}-{fault.value}-{policy.name}")
        self._counts = detection_parts.Counts()

    async def simulate(self) -> None:
        """Serve requests without a fault until ``FAULT_AT_S``, then with the fault."""
        router = detection_parts.Router(self._workers, self._policy, self._rng)
        async with anyio.create_task_group() as background:
            self._start_checks(background, router)
            async with anyio.create_task_group() as calls:
                calls.start_soon(self._inject_fault, router)
                at_s = self._arrivals.expovariate(ARRIVALS_PER_S)
                while at_s < END_S:
                    await anyio.sleep_until(at_s)
                    service_s = self._arrivals.expovariate(1.0 / SERVICE_MEAN_S)
                    calls.start_soon(router.serve, min(service_s, 1.5), REQUEST_TIMEOUT_S)
                    at_s += self._arrivals.expovariate(ARRIVALS_PER_S)
            background.cancel_scope.cancel()

    def figures(self) -> dict[str, float]:
        """Return the figures of the time after the fault.

        The draw ratio is the faulty worker's share of all attempts, relative to an even share. The
        detection time is absent if the fault was never detected.
        """
        counts = self._counts
        prefix = f"{self._fault.value}_{self._policy.name}"
        figures = {
            f"{prefix}_lost_ratio": 1.0 - counts.done / counts.sent,
            f"{prefix}_retried_ratio": counts.attempts / counts.sent - 1.0,
            f"{prefix}_draw_ratio": counts.faulty_attempts * WORKERS / counts.attempts,
        }
        if self._fault is Fault.REPLACED:
            figures[f"{prefix}_wrong_ratio"] = counts.wrong / counts.sent
        if self._policy.network_check_interval_s is not None:
            checks_per_s = counts.checks / (END_S - FAULT_AT_S) / WORKERS
            figures[f"{prefix}_check_bytes_per_worker_per_s"] = checks_per_s * CHECK_SIZE_BYTES
        if counts.detected_s is not None:
            figures[f"{prefix}_detect_s"] = counts.detected_s - FAULT_AT_S
        return figures

    def _start_checks(
        self, background: anyio.abc.TaskGroup, router: detection_parts.Router
    ) -> None:
        """Start the health checks of the policy."""
        for worker in self._workers:
            if self._policy.network_check_interval_s is not None:
                background.start_soon(
                    router.check_over_network, worker, self._policy.network_check_interval_s
                )
            if self._policy.local_check_interval_s is not None:
                background.start_soon(
                    router.check_locally, worker, self._policy.local_check_interval_s
                )

    async def _inject_fault(self, router: detection_parts.Router) -> None:
        """Inject the fault into the first worker and start counting."""
        await anyio.sleep_until(FAULT_AT_S)
        self._workers[0].fault = self._fault
        router.counts = self._counts
