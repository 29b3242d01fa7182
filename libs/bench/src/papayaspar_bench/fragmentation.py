"""Fragmentation under churn: four placement policies on the same jobs."""

import random

import attrs

from papayaspar_bench import experiments, fleet_fakes, fleet_runs, fleet_workloads
from papayaspar_model import rulesets, work
from papayaspar_placement import (
    completions,
    consolidation,
    durations,
    policies,
    preemptions,
    queues,
    shape_keeping,
)

WARM_UP_S = 2 * 3600.0
DRAIN_S = 4 * 3600.0
GANG_WIDTH = 8


@attrs.frozen
class Deployment:
    """One fleet and the load on it.

    :param name: name of the deployment.
    :param workers: number of workers.
    :param instances: instances of each guarantee.
    :param until_s: virtual time of the last arrival; the run ends when all work could be done.
    :param load_ratio: share of accelerators that the jobs keep busy on average.
    """

    name: str
    workers: int
    instances: int
    until_s: float
    load_ratio: float


DEPLOYMENTS = (
    Deployment("today", 11, 1, 26 * 3600.0, 0.75),
    Deployment("larger", 66, 6, 8 * 3600.0, 0.75),
)


class _Meter(fleet_runs.Watcher):
    """Time integrals of what is held, free and stranded while jobs arrive."""

    def __init__(self, shape: work.Shape, until_s: float) -> None:
        self._shape = shape
        self._until_s = until_s
        self.held_s = 0.0
        self.free_s = 0.0
        self.stranded_s = 0.0
        self.gang_waits_s: list[float] = []

    def advanced(self, run: fleet_runs.FleetRun, from_s: float, to_s: float) -> None:
        """Add what is held, free and stranded."""
        lasted_s = min(to_s, self._until_s) - max(from_s, WARM_UP_S)
        if lasted_s <= 0:
            return
        free = 0
        usable = 0
        for rack in run.fakes.racks.values():
            counts = [worker.free for worker in rack]
            free += sum(counts)
            slots = sum(count // self._shape.accelerators_per_task for count in counts)
            usable += slots // self._shape.tasks * self._shape.accelerators
        self.held_s += sum(len(one.holders) for one in run.fakes.workers.values()) * lasted_s
        self.free_s += free * lasted_s
        self.stranded_s += (free - usable) * lasted_s

    def started(
        self,
        run: fleet_runs.FleetRun,
        record: fleet_runs.JobRecord,
        decision: queues.Decision,
    ) -> None:
        """Note how long a wide gang waited."""
        if record.attempt > 1 or record.submitted_s < WARM_UP_S:
            return
        if decision.job.shape.tasks == GANG_WIDTH:
            self.gang_waits_s.append(run.now_s - record.submitted_s)


class Fragmentation(experiments.Experiment):
    """Churn of small and large work on both deployments."""

    name = "fragmentation"
    summary = "stranded accelerators, waits of 8-wide gangs and utilisation of four policies"

    def run(self, seed: int) -> experiments.Outcome:
        """Run each policy on the same jobs."""
        figures: dict[str, float] = {}
        violations: list[str] = []
        for deployment in DEPLOYMENTS:
            kinds = fleet_workloads.churn(random.Random(seed))
            load = deployment.load_ratio * deployment.workers * 8
            stream = fleet_workloads.arrivals(
                random.Random(seed + 1), kinds, load, deployment.until_s
            )
            for name in ("shape_keeping", "first_fit", "best_fit", "random_of_two"):
                run, meter = _run(deployment, stream, name, seed)
                prefix = f"{deployment.name}_{name}"
                figures.update(_figures(prefix, meter, run))
                if run.conflicts:
                    violations.append(f"{prefix}: {run.conflicts} starts on held accelerators")
            figures.update(_compared(deployment.name, figures))
        return experiments.Outcome(self.name, seed, figures, tuple(violations))


def _run(
    deployment: Deployment,
    stream: tuple[fleet_workloads.Arrival, ...],
    name: str,
    seed: int,
) -> tuple[fleet_runs.FleetRun, _Meter]:
    expected = completions.CompletionEstimator(durations.DurationEstimator())
    rivals: list[policies.PlacementPolicy] = [
        policies.FirstFit(),
        policies.BestFit(),
        policies.RandomOfTwo(random.Random(seed)),
        shape_keeping.ShapeKeeping(expected, consolidation.Consolidator(expected)),
    ]
    policy = {rival.name: rival for rival in rivals}[name]
    rules = rulesets.RuleSet(guarantees=fleet_workloads.guarantees(deployment.instances))
    meter = _Meter(work.Shape(1, 8), deployment.until_s)
    run = fleet_runs.FleetRun(
        fleet_fakes.FakeFleet(deployment.workers),
        rules,
        policy,
        expected,
        preemptions.LeastLostWork(),
        meter,
        random.Random(seed),
    )
    for arrival in stream:
        run.timeline.after(
            arrival.at_s,
            lambda one=arrival: run.submit(one.job, one.true_s),  # type: ignore[misc]
        )
    run.run(deployment.until_s + DRAIN_S)
    return run, meter


def _figures(prefix: str, meter: _Meter, run: fleet_runs.FleetRun) -> dict[str, float]:
    waits_s = sorted(meter.gang_waits_s)
    return {
        f"{prefix}_stranded_ratio": meter.stranded_s / meter.free_s,
        f"{prefix}_held_ratio": meter.held_s / (meter.held_s + meter.free_s),
        f"{prefix}_utilisation_ratio": _useful_s(run) / _offered_s(run),
        f"{prefix}_gang_wait_mean_s": sum(waits_s) / max(1, len(waits_s)),
        f"{prefix}_gang_wait_p99_s": waits_s[int(0.99 * (len(waits_s) - 1))] if waits_s else 0.0,
        f"{prefix}_completion_mean_s": _completion_mean_s(run),
        f"{prefix}_waiting_at_end": float(len(run.queue)),
        f"{prefix}_lost_work_s": run.lost_work_s,
    }


def _useful_s(run: fleet_runs.FleetRun) -> float:
    """Return accelerator-seconds of work that was done and kept."""
    done_s = 0.0
    for record in run.records.values():
        running = run.fakes.running.get(record.job.job_id)
        ran_s = 0.0 if running is None else run.now_s - running.started_s
        done_s += (record.true_s - record.left_s + ran_s) * record.job.shape.accelerators
    return done_s


def _completion_mean_s(run: fleet_runs.FleetRun) -> float:
    """Return the mean time from arrival to the end of the jobs that were done."""
    took_s = [
        record.finished_s - record.submitted_s
        for record in run.records.values()
        if record.finished_s is not None
    ]
    return sum(took_s) / max(1, len(took_s))


def _offered_s(run: fleet_runs.FleetRun) -> float:
    """Return accelerator-seconds that the fleet had."""
    total = sum(worker.capacity.accelerators for worker in run.fakes.workers.values())
    return total * run.now_s


def _compared(name: str, figures: dict[str, float]) -> dict[str, float]:
    ours = f"{name}_shape_keeping"
    theirs = f"{name}_first_fit"
    return {
        f"{name}_{figure}_vs_first_fit_ratio": figures[f"{ours}_{figure}_ratio"]
        / figures[f"{theirs}_{figure}_ratio"]
        for figure in ("stranded", "utilisation")
    }
