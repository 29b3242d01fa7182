"""How fast workers that go wrong are noticed, and at what cost."""

import random

import anyio
import attrs

from papayaspar_bench import detection_parts, experiments, virtual_time

Fault = detection_parts.Fault
Policy = detection_parts.Policy

WORKERS = 11
FAULT_AT_S = 10.0
END_S = 30.0
RATE_PER_S = 40.0
SERVICE_MEAN_S = 0.6
TIMEOUT_S = 5.0
CHECK_BYTES = 300

NONE = Policy("none")
PASSIVE = Policy("passive", passive=True)
ACTIVE_FAST = Policy("active_1s", probe_interval_s=1.0)
ACTIVE_SLOW = Policy("active_5s", probe_interval_s=5.0)
BOTH = Policy("active_5s_passive", passive=True, probe_interval_s=5.0)
LOCAL = Policy("local_1s_passive", passive=True, local_interval_s=1.0)

POLICIES: dict[Fault, tuple[Policy, ...]] = {
    Fault.FAILS: (NONE, PASSIVE, ACTIVE_FAST, BOTH, LOCAL),
    Fault.FAILS_AND_SAYS_SO: (PASSIVE, ACTIVE_FAST, ACTIVE_SLOW, BOTH, LOCAL),
    Fault.HANGS: (NONE, PASSIVE, ACTIVE_FAST, ACTIVE_SLOW, BOTH, LOCAL),
    Fault.LEAVES: (
        PASSIVE,
        ACTIVE_SLOW,
        attrs.evolve(ACTIVE_SLOW, name="active_5s_immediate", immediate=True),
        attrs.evolve(PASSIVE, name="passive_immediate", immediate=True),
    ),
    Fault.REPLACED: (
        PASSIVE,
        ACTIVE_FAST,
        attrs.evolve(ACTIVE_FAST, name="active_1s_identity", checks_identity=True),
        attrs.evolve(PASSIVE, name="passive_identity", answers_identity=True),
    ),
}


class Detection(experiments.Experiment):
    """Health checks, ejection on outcomes and both, against the ways a worker goes wrong."""

    name = "detection"
    summary = "time to detect a bad worker, requests lost to it, and the cost of checks"

    def run(self, seed: int) -> experiments.Outcome:
        """Run every fault under every policy in virtual time."""
        figures: dict[str, float] = {}
        for fault, policies in POLICIES.items():
            for policy in policies:
                run = _Run(fault, policy, seed)
                virtual_time.run(run.simulate, f"{seed}-{fault.value}-{policy.name}")
                figures.update(run.figures())
        return experiments.Outcome(self.name, seed, figures)


class _Run:
    """One fault under one policy, with the same arrivals for every policy."""

    def __init__(self, fault: Fault, policy: Policy, seed: int) -> None:
        self._fault = fault
        self._policy = policy
        self._arrivals = random.Random(f"{seed}-arrivals")
        self._workers = [detection_parts.Worker(f"w{number}") for number in range(WORKERS)]
        self._rng = random.Random(f"{seed}-{fault.value}-{policy.name}")
        self._counts = detection_parts.Counts()

    async def simulate(self) -> None:
        """Run a quiet time, then the fault."""
        router = detection_parts.Router(self._workers, self._policy, self._rng)
        async with anyio.create_task_group() as background:
            self._start_checks(background, router)
            async with anyio.create_task_group() as calls:
                calls.start_soon(self._go_wrong, router)
                at_s = self._arrivals.expovariate(RATE_PER_S)
                while at_s < END_S:
                    await anyio.sleep_until(at_s)
                    service_s = self._arrivals.expovariate(1.0 / SERVICE_MEAN_S)
                    calls.start_soon(router.serve, min(service_s, 1.5), TIMEOUT_S)
                    at_s += self._arrivals.expovariate(RATE_PER_S)
            background.cancel_scope.cancel()

    def figures(self) -> dict[str, float]:
        """Return the figures of the time after the fault; no time to detect if it never was."""
        counts = self._counts
        name = f"{self._fault.value}_{self._policy.name}"
        found = {
            f"{name}_lost_ratio": 1.0 - counts.done / counts.sent,
            f"{name}_retried_ratio": counts.attempts / counts.sent - 1.0,
            f"{name}_draw_ratio": counts.bad_attempts * WORKERS / counts.attempts,
        }
        if self._fault is Fault.REPLACED:
            found[f"{name}_wrong_ratio"] = counts.wrong / counts.sent
        if self._policy.probe_interval_s is not None:
            checks_per_s = counts.checks / (END_S - FAULT_AT_S) / WORKERS
            found[f"{name}_check_bytes_per_worker_per_s"] = checks_per_s * CHECK_BYTES
        if counts.out_at_s is not None:
            found[f"{name}_detect_s"] = counts.out_at_s - FAULT_AT_S
        return found

    def _start_checks(
        self, background: anyio.abc.TaskGroup, router: detection_parts.Router
    ) -> None:
        """Start the health checks of the policy."""
        for worker in self._workers:
            if self._policy.probe_interval_s is not None:
                background.start_soon(
                    router.check_over_network, worker, self._policy.probe_interval_s
                )
            if self._policy.local_interval_s is not None:
                background.start_soon(
                    router.check_beside_target, worker, self._policy.local_interval_s
                )

    async def _go_wrong(self, router: detection_parts.Router) -> None:
        """Let the first worker go wrong, and count from there."""
        await anyio.sleep_until(FAULT_AT_S)
        self._workers[0].fault = self._fault
        router.counts = self._counts
