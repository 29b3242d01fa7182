"""Checks that claims within a guarantee start in time and that no invariant is violated."""

import attrs

from papayaspar_bench import fleet_runs
from papayaspar_model import rulesets, work
from papayaspar_placement import queues

URGENT_START_TIMEOUT_S = 7.3
OTHER_START_TIMEOUT_S = 15.0


@attrs.define
class Claim:
    """One claim: a job of the shape of its team's guarantee.

    :param job: the job.
    :param claimed_s: virtual time of the submission, in seconds.
    :param due_s: virtual time by which the job has to start, in seconds; ``None`` while the claim
        is beyond the guarantee or the workers of its home are down.
    :param due_from_s: virtual time at which the claim became due, in seconds, or ``None``.
    """

    job: work.Job
    claimed_s: float
    due_s: float | None = None
    due_from_s: float | None = None


class ClaimObserver(fleet_runs.RunObserver):
    """Tracks every claim; reads gangs and workers from the simulated fleet, not from the view.

    :param guarantees: the guarantees in force.
    """

    def __init__(self, guarantees: tuple[rulesets.Guarantee, ...]) -> None:
        self._guarantee_of = {guarantee.team: guarantee for guarantee in guarantees}
        self._active: dict[str, Claim] = {}
        self._violations: list[str] = []
        self.claims = 0
        self.due_claims = 0
        self.urgent_waits_s: list[float] = []
        self.held_s = 0.0
        self.total_s = 0.0

    def claim(self, run: fleet_runs.FleetRun, job: work.Job, true_s: float) -> None:
        """Submit a claim at the current virtual time and track it.

        :param run: the run.
        :param job: job of the claim.
        :param true_s: true run time, in seconds.
        """
        self._remove_finished(run)
        claim = Claim(job, run.now_s)
        self._active[job.job_id] = claim
        self.claims += 1
        run.submit(job, true_s)
        self._update_due_times(run, job.team)

    def handle_worker_failure(self, run: fleet_runs.FleetRun, name: str) -> None:
        """Handle a worker failure: clear the due time of the affected waiting claims.

        They become due again when the homes are packed on running workers.

        :param run: the run.
        :param name: name of the failed worker.
        """
        self._check_gangs(run)
        self._remove_finished(run)
        for claim in self._active.values():
            if claim.job.job_id in run.simulated_fleet.running:
                continue
            if self._is_affected(run, claim, name):
                claim.due_s = None

    def handle_homes_packed(self, run: fleet_runs.FleetRun) -> None:
        """Handle new homes: claims that lacked running workers become due now."""
        self._check_unstoppable(run)
        self._remove_finished(run)
        for team in self._guarantee_of:
            self._update_due_times(run, team)

    def handle_advance(self, run: fleet_runs.FleetRun, from_s: float, to_s: float) -> None:
        """Add the accelerator-seconds that gangs held and that running workers had."""
        for worker in run.simulated_fleet.workers.values():
            if worker.is_up:
                self.held_s += (to_s - from_s) * len(worker.holders)
                self.total_s += (to_s - from_s) * worker.capacity.accelerators

    def handle_start(
        self,
        run: fleet_runs.FleetRun,
        record: fleet_runs.JobRecord,
        decision: queues.Decision,
    ) -> None:
        """Check the start of a gang against the invariants and the due time of its claim."""
        job = decision.job
        if len(decision.plan.placement.tasks) != job.shape.tasks:
            self._violations.append(f"{job.job_id} started only some of its tasks")
        self._check_gangs(run)
        self._check_unstoppable(run)
        claim = self._active.get(job.job_id)
        if claim is None:
            return
        if claim.due_s is not None and run.now_s > claim.due_s:
            late_s = run.now_s - claim.due_s
            self._violations.append(f"{job.job_id} started {late_s:.2f} s late")
        if claim.due_s is not None and claim.due_from_s is not None:
            if job.urgency is work.Urgency.URGENT:
                self.urgent_waits_s.append(run.now_s - claim.due_from_s)
        claim.due_s = None

    def finish(self, run: fleet_runs.FleetRun) -> tuple[str, ...]:
        """Return the violated invariants, at the end of a run.

        :param run: the run.
        """
        for claim in self._active.values():
            if claim.due_s is not None and claim.due_s < run.now_s:
                self._violations.append(f"{claim.job.job_id} never started")
        if run.conflicts:
            self._violations.append(f"{run.conflicts} starts on held accelerators")
        return tuple(self._violations)

    def _update_due_times(self, run: fleet_runs.FleetRun, team: str) -> None:
        """Set the due times of a team's waiting claims: only those within its guarantee are due."""
        waiting: list[Claim] = []
        placed = 0
        for claim in self._active.values():
            if claim.job.team != team:
                continue
            record = run.records[claim.job.job_id]
            if claim.job.job_id in run.simulated_fleet.running or record.pending is not None:
                placed += 1
                continue
            waiting.append(claim)
        available_homes = self._running_home_count(run, team) - placed
        for claim in sorted(waiting, key=lambda claim: _queue_order(claim, run.now_s)):
            available_homes -= 1
            if available_homes < 0:
                claim.due_s = None
            elif claim.due_s is None:
                self._set_due(claim, run.now_s)

    def _set_due(self, claim: Claim, now_s: float) -> None:
        is_urgent = claim.job.urgency is work.Urgency.URGENT
        claim.due_s = now_s + (URGENT_START_TIMEOUT_S if is_urgent else OTHER_START_TIMEOUT_S)
        if claim.due_from_s is None:
            self.due_claims += 1
        claim.due_from_s = now_s

    def _running_home_count(self, run: fleet_runs.FleetRun, team: str) -> int:
        running_count = 0
        for home in run.view.homes_of(team):
            if all(run.simulated_fleet.workers[item.worker].is_up for item in home.tasks):
                running_count += 1
        return running_count

    def _is_affected(self, run: fleet_runs.FleetRun, claim: Claim, name: str) -> bool:
        pending = run.records[claim.job.job_id].pending
        task_groups = [home.tasks for home in run.view.homes_of(claim.job.team)]
        if pending is not None:
            task_groups.append(pending.plan.placement.tasks)
        return any(item.worker == name for tasks in task_groups for item in tasks)

    def _remove_finished(self, run: fleet_runs.FleetRun) -> None:
        for job_id in list(self._active):
            record = run.records.get(job_id)
            if record is not None and record.remaining_s == 0.0:
                del self._active[job_id]

    def _check_gangs(self, run: fleet_runs.FleetRun) -> None:
        for running in run.simulated_fleet.running.values():
            for item in running.placement.tasks:
                worker = run.simulated_fleet.workers[item.worker]
                holders = {worker.holders.get(number) for number in item.accelerators}
                if not worker.is_up or holders != {running.job.job_id}:
                    self._violations.append(f"{running.job.job_id} runs only some of its tasks")

    def _check_unstoppable(self, run: fleet_runs.FleetRun) -> None:
        owners = {
            (item.worker, number): home.team
            for home in run.view.all_homes()
            for item in home.tasks
            for number in item.accelerators
        }
        for running in run.simulated_fleet.running.values():
            if running.job.stoppable:
                continue
            for item in running.placement.tasks:
                for number in item.accelerators:
                    owner = owners.get((item.worker, number), running.job.team)
                    if owner != running.job.team:
                        self._violations.append(f"{running.job.job_id} can't leave {owner}'s home")


def _queue_order(claim: Claim, now_s: float) -> tuple[int, float, str]:
    promoted = int((now_s - claim.claimed_s) / queues.PROMOTE_AFTER_S)
    urgency = max(0, queues.URGENCY_RANKS[claim.job.urgency] - promoted)
    return (urgency, claim.claimed_s, claim.job.job_id)
