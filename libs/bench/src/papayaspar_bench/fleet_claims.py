"""Checks that claims within a guarantee start in time and that no invariant is violated."""

import attrs

from papayaspar_bench import fleet_runs
from papayaspar_model import rulesets, work
from papayaspar_placement import queues

URGENT_START_TIMEOUT_S = 7.3  # the bound on urgent waits in bounds.json
OTHER_START_TIMEOUT_S = 15.0


@attrs.define
class Claim:
    """One claim: a job of the shape of its team's guarantee.

    A waiting claim is due if it is within the guarantee and the workers of its home are running.

    :param job: the job.
    :param submitted_s: virtual time of the submission, in seconds.
    :param deadline_s: virtual time by which the job has to start, in seconds; ``None`` while the
        claim is not due.
    :param due_since_s: virtual time at which the claim last became due, in seconds, or ``None``.
    """

    job: work.Job
    submitted_s: float
    deadline_s: float | None = None
    due_since_s: float | None = None


class ClaimObserver(fleet_runs.RunObserver):
    """Tracks every claim.

    The observer reads gangs and workers from the simulated fleet, because the scheduler's view of
    them may be out of date.

    :param guarantees: the guarantees in force.
    """

    def __init__(self, guarantees: tuple[rulesets.Guarantee, ...]) -> None:
        self._guarantee_of = {guarantee.team: guarantee for guarantee in guarantees}
        self._active: dict[str, Claim] = {}
        self._violations: list[str] = []
        self.claims = 0
        self.due_claims = 0
        self.urgent_waits_s: list[float] = []
        self.held_accelerator_s = 0.0
        self.total_accelerator_s = 0.0

    def submit_claim(self, run: fleet_runs.FleetRun, job: work.Job, true_s: float) -> None:
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
        self._update_deadlines(run, job.team)

    def handle_worker_failure(self, run: fleet_runs.FleetRun, name: str) -> None:
        """Clear the deadlines of the waiting claims that a worker failure affects.

        These claims become due again when homes on running workers have been assigned to them.

        :param run: the run.
        :param name: name of the failed worker.
        """
        self._check_gangs(run)
        self._remove_finished(run)
        for claim in self._active.values():
            if claim.job.job_id in run.simulated_fleet.running:
                continue
            if self._is_affected(run, claim, name):
                claim.deadline_s = None

    def handle_homes_packed(self, run: fleet_runs.FleetRun) -> None:
        """Handle new homes: claims that lacked running workers become due."""
        self._check_unstoppable_gangs(run)
        self._remove_finished(run)
        for team in self._guarantee_of:
            self._update_deadlines(run, team)

    def handle_advance(self, run: fleet_runs.FleetRun, from_s: float, to_s: float) -> None:
        """Add the accelerator-seconds that gangs held and that running workers had."""
        for worker in run.simulated_fleet.workers.values():
            if worker.is_up:
                self.held_accelerator_s += (to_s - from_s) * len(worker.holders)
                self.total_accelerator_s += (to_s - from_s) * worker.capacity.accelerators

    def handle_start(
        self,
        run: fleet_runs.FleetRun,
        record: fleet_runs.JobRecord,
        decision: queues.Decision,
    ) -> None:
        """Check the start of a gang against the invariants and the deadline of its claim."""
        job = decision.job
        if len(decision.plan.placement.tasks) != job.shape.tasks:
            self._violations.append(f"{job.job_id} started only some of its tasks")
        self._check_gangs(run)
        self._check_unstoppable_gangs(run)
        claim = self._active.get(job.job_id)
        if claim is None:
            return
        if claim.deadline_s is not None and run.now_s > claim.deadline_s:
            late_s = run.now_s - claim.deadline_s
            self._violations.append(f"{job.job_id} started {late_s:.2f} s late")
        if claim.deadline_s is not None and claim.due_since_s is not None:
            if job.urgency is work.Urgency.URGENT:
                self.urgent_waits_s.append(run.now_s - claim.due_since_s)
        claim.deadline_s = None

    def finish(self, run: fleet_runs.FleetRun) -> tuple[str, ...]:
        """Return the violated invariants, at the end of a run.

        :param run: the run.
        """
        for claim in self._active.values():
            if claim.deadline_s is not None and claim.deadline_s < run.now_s:
                self._violations.append(f"{claim.job.job_id} never started")
        if run.conflicts:
            self._violations.append(f"{run.conflicts} starts on held accelerators")
        return tuple(self._violations)

    def _update_deadlines(self, run: fleet_runs.FleetRun, team: str) -> None:
        """Set the deadlines of a team's claims that became due; clear those of claims not due."""
        waiting: list[Claim] = []
        placed_count = 0
        for claim in self._active.values():
            if claim.job.team != team:
                continue
            record = run.records[claim.job.job_id]
            if claim.job.job_id in run.simulated_fleet.running or record.pending is not None:
                placed_count += 1
                continue
            waiting.append(claim)
        available_homes = self._running_home_count(run, team) - placed_count
        for claim in sorted(waiting, key=lambda claim: _queue_order(claim, run.now_s)):
            available_homes -= 1
            if available_homes < 0:
                claim.deadline_s = None
            elif claim.deadline_s is None:
                self._set_deadline(claim, run.now_s)

    def _set_deadline(self, claim: Claim, now_s: float) -> None:
        is_urgent = claim.job.urgency is work.Urgency.URGENT
        claim.deadline_s = now_s + (URGENT_START_TIMEOUT_S if is_urgent else OTHER_START_TIMEOUT_S)
        if claim.due_since_s is None:
            self.due_claims += 1
        claim.due_since_s = now_s

    def _running_home_count(self, run: fleet_runs.FleetRun, team: str) -> int:
        running_count = 0
        for home in run.view.homes_of(team):
            if all(
                run.simulated_fleet.workers[task_range.worker].is_up for task_range in home.tasks
            ):
                running_count += 1
        return running_count

    def _is_affected(self, run: fleet_runs.FleetRun, claim: Claim, name: str) -> bool:
        pending = run.records[claim.job.job_id].pending
        placements = [home.tasks for home in run.view.homes_of(claim.job.team)]
        if pending is not None:
            placements.append(pending.plan.placement.tasks)
        return any(task_range.worker == name for tasks in placements for task_range in tasks)

    def _remove_finished(self, run: fleet_runs.FleetRun) -> None:
        for job_id in list(self._active):
            record = run.records.get(job_id)
            if record is not None and record.remaining_s == 0.0:
                del self._active[job_id]

    def _check_gangs(self, run: fleet_runs.FleetRun) -> None:
        for running in run.simulated_fleet.running.values():
            for task_range in running.placement.tasks:
                worker = run.simulated_fleet.workers[task_range.worker]
                holders = {worker.holders.get(number) for number in task_range.accelerators}
                if not worker.is_up or holders != {running.job.job_id}:
                    self._violations.append(f"{running.job.job_id} runs only some of its tasks")

    def _check_unstoppable_gangs(self, run: fleet_runs.FleetRun) -> None:
        owners = {
            (task_range.worker, number): home.team
            for home in run.view.all_homes()
            for task_range in home.tasks
            for number in task_range.accelerators
        }
        for running in run.simulated_fleet.running.values():
            if running.job.stoppable:
                continue
            for task_range in running.placement.tasks:
                for number in task_range.accelerators:
                    owner = owners.get((task_range.worker, number), running.job.team)
                    if owner != running.job.team:
                        self._violations.append(
                            f"{running.job.job_id} is not stoppable, but runs on a home of {owner}"
                        )


def _queue_order(claim: Claim, now_s: float) -> tuple[int, float, str]:
    """Return a sort key that orders claims as the job queue does."""
    promotions = int((now_s - claim.submitted_s) / queues.PROMOTE_AFTER_S)
    urgency_rank = max(0, queues.URGENCY_RANKS[claim.job.urgency] - promotions)
    return (urgency_rank, claim.submitted_s, claim.job.job_id)
