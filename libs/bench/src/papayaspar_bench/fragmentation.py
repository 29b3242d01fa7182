"""Experiment: fragmentation under churn, for four placement policies on the same jobs."""

import random

import attrs

from papayaspar_bench import experiments, fleet_fakes, fleet_runs, fleet_workloads
from papayaspar_estimates import quantiles
from papayaspar_model import rulesets, work
from papayaspar_placement import (
    completions,
    consolidation,
    policies,
    preemptions,
    queues,
    shape_keeping,
)

WARM_UP_S = 2 * 3600.0
DRAIN_S = 4 * 3600.0
WIDE_GANG_TASKS = 8


@attrs.frozen
class Deployment:
    """The size of a fleet, its guarantees and its load.

    :param name: name of the deployment.
    :param workers: number of workers.
    :param instances: number of instances of each guarantee.
    :param arrivals_end_s: virtual time at which arrivals end, in seconds; the run continues for
        ``DRAIN_S`` so that the remaining work can finish.
    :param load_ratio: share of accelerators that the jobs keep busy on average.
    """

    name: str
    workers: int
    instances: int
    arrivals_end_s: float
    load_ratio: float


DEPLOYMENTS = (
    Deployment("today", 11, 1, 26 * 3600.0, 0.75),
    Deployment("larger", 66, 6, 8 * 3600.0, 0.75),
)


class _CapacityObserver(fleet_runs.RunObserver):
    """Integrates held, free and stranded accelerators over the time in which jobs arrive.

    Free accelerators are stranded if no gang of the reference shape can use them.
    """

    def __init__(self, shape: work.Shape, arrivals_end_s: float) -> None:
        self._shape = shape
        self._arrivals_end_s = arrivals_end_s
        self.held_accelerator_s = 0.0
        self.free_accelerator_s = 0.0
        self.stranded_accelerator_s = 0.0
        self.wide_gang_waits_s: list[float] = []

    def handle_advance(self, run: fleet_runs.FleetRun, from_s: float, to_s: float) -> None:
        """Add the accelerator-seconds that were held, free and stranded."""
        duration_s = min(to_s, self._arrivals_end_s) - max(from_s, WARM_UP_S)
        if duration_s <= 0:
            return
        free_total = 0
        usable_count = 0
        for rack in run.simulated_fleet.racks.values():
            free_counts = [worker.free for worker in rack]
            free_total += sum(free_counts)
            task_count = sum(
                free_count // self._shape.accelerators_per_task for free_count in free_counts
            )
            usable_count += task_count // self._shape.tasks * self._shape.accelerators
        self.held_accelerator_s += (
            sum(len(worker.holders) for worker in run.simulated_fleet.workers.values()) * duration_s
        )
        self.free_accelerator_s += free_total * duration_s
        self.stranded_accelerator_s += (free_total - usable_count) * duration_s

    def handle_start(
        self,
        run: fleet_runs.FleetRun,
        record: fleet_runs.JobRecord,
        decision: queues.Decision,
    ) -> None:
        """Record the wait time for the first start of a wide gang submitted after the warm-up."""
        if record.attempt > 1 or record.submitted_s < WARM_UP_S:
            return
        if decision.job.shape.tasks == WIDE_GANG_TASKS:
            self.wide_gang_waits_s.append(run.now_s - record.submitted_s)


class Fragmentation(experiments.Experiment):
    """Compares placement policies under a churn of small and large jobs on both deployments."""

    name = "fragmentation"
    summary = "stranded accelerators, waits of 8-wide gangs and utilisation of four policies"

    def run(self, seed: int) -> experiments.Outcome:
        """Run each policy on the same jobs."""
        figures: dict[str, float] = {}
        violations: list[str] = []
        for deployment in DEPLOYMENTS:
            kinds = fleet_workloads.churn_kinds(random.Random(seed))
            load_accelerators = deployment.load_ratio * deployment.workers * 8
            arrivals = fleet_workloads.arrivals(
                random.Random(seed + 1), kinds, load_accelerators, deployment.arrivals_end_s
            )
            for policy_name in ("shape_keeping", "first_fit", "best_fit", "random_of_two"):
                run, observer = _simulate(deployment, arrivals, policy_name, seed)
                prefix = f"{deployment.name}_{policy_name}"
                figures.update(_figures(prefix, observer, run))
                if run.conflicts:
                    violations.append(f"{prefix}: {run.conflicts} starts on held accelerators")
            figures.update(_ratios_to_first_fit(deployment.name, figures))
        return experiments.Outcome(self.name, seed, figures, tuple(violations))


def _simulate(
    deployment: Deployment,
    arrivals: tuple[fleet_workloads.Arrival, ...],
    policy_name: str,
    seed: int,
) -> tuple[fleet_runs.FleetRun, _CapacityObserver]:
    estimator = completions.CompletionEstimator(quantiles.DurationEstimator())
    compared_policies: list[policies.PlacementPolicy] = [
        policies.FirstFit(),
        policies.BestFit(),
        policies.RandomOfTwo(random.Random(seed)),
        shape_keeping.ShapeKeeping(estimator, consolidation.Consolidator(estimator)),
    ]
    policy = {candidate.name: candidate for candidate in compared_policies}[policy_name]
    rules = rulesets.RuleSet(guarantees=fleet_workloads.guarantees(deployment.instances))
    observer = _CapacityObserver(work.Shape(1, 8), deployment.arrivals_end_s)
    run = fleet_runs.FleetRun(
        fleet_fakes.FakeFleet(deployment.workers),
        rules,
        policy,
        estimator,
        preemptions.LeastLostWork(),
        observer,
        random.Random(seed),
    )
    for arrival in arrivals:
        run.timeline.call_after(
            arrival.at_s,
            lambda arrival=arrival: run.submit(arrival.job, arrival.true_s),  # type: ignore[misc]
        )
    run.run(deployment.arrivals_end_s + DRAIN_S)
    return run, observer


def _figures(
    prefix: str, observer: _CapacityObserver, run: fleet_runs.FleetRun
) -> dict[str, float]:
    waits_s = sorted(observer.wide_gang_waits_s)
    return {
        f"{prefix}_stranded_ratio": observer.stranded_accelerator_s / observer.free_accelerator_s,
        f"{prefix}_held_ratio": observer.held_accelerator_s
        / (observer.held_accelerator_s + observer.free_accelerator_s),
        f"{prefix}_utilisation_ratio": _useful_accelerator_s(run) / _offered_accelerator_s(run),
        f"{prefix}_gang_wait_mean_s": sum(waits_s) / max(1, len(waits_s)),
        f"{prefix}_gang_wait_p99_s": waits_s[int(0.99 * (len(waits_s) - 1))] if waits_s else 0.0,
        f"{prefix}_completion_mean_s": _completion_mean_s(run),
        f"{prefix}_waiting_at_end": float(len(run.queue)),
        f"{prefix}_lost_work_s": run.lost_work_s,
    }


def _useful_accelerator_s(run: fleet_runs.FleetRun) -> float:
    """Return the accelerator-seconds of work that was done and not lost."""
    useful_s = 0.0
    for record in run.records.values():
        running = run.simulated_fleet.running.get(record.job.job_id)
        ran_s = 0.0 if running is None else run.now_s - running.started_s
        useful_s += (record.true_s - record.remaining_s + ran_s) * record.job.shape.accelerators
    return useful_s


def _completion_mean_s(run: fleet_runs.FleetRun) -> float:
    """Return the mean time from submission to completion of the finished jobs, in seconds."""
    durations_s = [
        record.finished_s - record.submitted_s
        for record in run.records.values()
        if record.finished_s is not None
    ]
    return sum(durations_s) / max(1, len(durations_s))


def _offered_accelerator_s(run: fleet_runs.FleetRun) -> float:
    """Return the accelerator-seconds that the fleet offered."""
    total = sum(worker.capacity.accelerators for worker in run.simulated_fleet.workers.values())
    return total * run.now_s


def _ratios_to_first_fit(deployment_name: str, figures: dict[str, float]) -> dict[str, float]:
    shape_keeping_prefix = f"{deployment_name}_shape_keeping"
    first_fit_prefix = f"{deployment_name}_first_fit"
    return {
        f"{deployment_name}_{figure}_vs_first_fit_ratio": figures[
            f"{shape_keeping_prefix}_{figure}_ratio"
        ]
        / figures[f"{first_fit_prefix}_{figure}_ratio"]
        for figure in ("stranded", "utilisation")
    }
