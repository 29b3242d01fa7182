"""Checks that claims within a guarantee start in time and that nothing else breaks."""

import attrs

from papayaspar_bench import fleet_runs
from papayaspar_model import rulesets, work
from papayaspar_placement import queues

URGENT_WITHIN_S = 7.3
OTHERS_WITHIN_S = 15.0


@attrs.define
class Claim:
    """One claim of a guaranteed shape.

    :param job: the job.
    :param claimed_s: virtual time of the claim.
    :param due_s: virtual time by which it has to run; ``None`` while it is beyond the guarantee
        or its workers don't stand.
    :param due_from_s: virtual time at which it became due, or ``None``.
    """

    job: work.Job
    claimed_s: float
    due_s: float | None = None
    due_from_s: float | None = None


class ClaimWatcher(fleet_runs.Watcher):
    """Follows every claim; its verdict rests on the fake fleet, not on the view.

    :param guarantees: the guarantees in force.
    """

    def __init__(self, guarantees: tuple[rulesets.Guarantee, ...]) -> None:
        self._guarantee_of = {one.team: one for one in guarantees}
        self._live: dict[str, Claim] = {}
        self._violations: list[str] = []
        self.claims = 0
        self.due_claims = 0
        self.urgent_waits_s: list[float] = []
        self.held_s = 0.0
        self.total_s = 0.0

    def claim(self, run: fleet_runs.FleetRun, job: work.Job, true_s: float) -> None:
        """Claim a guaranteed shape now.

        :param run: the run.
        :param job: the claim.
        :param true_s: its true run time.
        """
        self._forget_finished(run)
        claim = Claim(job, run.now_s)
        self._live[job.job_id] = claim
        self.claims += 1
        run.submit(job, true_s)
        self._judge(run, job.team)

    def worker_failed(self, run: fleet_runs.FleetRun, name: str) -> None:
        """Note a failure: claims it touches are due anew, if other workers stand.

        :param run: the run.
        :param name: the worker.
        """
        self._check_gangs(run)
        self._forget_finished(run)
        for claim in self._live.values():
            if claim.job.job_id in run.fakes.running:
                continue
            if self._is_touched(run, claim, name):
                claim.due_s = None

    def homes_packed(self, run: fleet_runs.FleetRun) -> None:
        """Note new homes: claims that were short of workers are due from now."""
        self._check_unstoppable(run)
        self._forget_finished(run)
        for team in self._guarantee_of:
            self._judge(run, team)

    def advanced(self, run: fleet_runs.FleetRun, from_s: float, to_s: float) -> None:
        """Add up how full the fleet is."""
        for worker in run.fakes.workers.values():
            if worker.is_up:
                self.held_s += (to_s - from_s) * len(worker.holders)
                self.total_s += (to_s - from_s) * worker.capacity.accelerators

    def started(
        self,
        run: fleet_runs.FleetRun,
        record: fleet_runs.JobRecord,
        decision: queues.Decision,
    ) -> None:
        """Check a start."""
        job = decision.job
        if len(decision.plan.placement.tasks) != job.shape.tasks:
            self._violations.append(f"part of {job.job_id} started alone")
        self._check_gangs(run)
        self._check_unstoppable(run)
        claim = self._live.get(job.job_id)
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
        """Return all broken invariants, at the end of a run.

        :param run: the run.
        """
        for claim in self._live.values():
            if claim.due_s is not None and claim.due_s < run.now_s:
                self._violations.append(f"{claim.job.job_id} never started")
        if run.conflicts:
            self._violations.append(f"{run.conflicts} starts on held accelerators")
        return tuple(self._violations)

    def _judge(self, run: fleet_runs.FleetRun, team: str) -> None:
        """Decide which waiting claims of a team are within its guarantee."""
        waiting: list[Claim] = []
        taken = 0
        for claim in self._live.values():
            if claim.job.team != team:
                continue
            record = run.records[claim.job.job_id]
            if claim.job.job_id in run.fakes.running or record.pending is not None:
                taken += 1
                continue
            waiting.append(claim)
        left = self._standing(run, team) - taken
        for claim in sorted(waiting, key=lambda one: _order(one, run.now_s)):
            left -= 1
            if left < 0:
                claim.due_s = None
            elif claim.due_s is None:
                self._set_due(claim, run.now_s)

    def _set_due(self, claim: Claim, now_s: float) -> None:
        is_urgent = claim.job.urgency is work.Urgency.URGENT
        claim.due_s = now_s + (URGENT_WITHIN_S if is_urgent else OTHERS_WITHIN_S)
        if claim.due_from_s is None:
            self.due_claims += 1
        claim.due_from_s = now_s

    def _standing(self, run: fleet_runs.FleetRun, team: str) -> int:
        standing = 0
        for home in run.view.homes_of(team):
            if all(run.fakes.workers[item.worker].is_up for item in home.tasks):
                standing += 1
        return standing

    def _is_touched(self, run: fleet_runs.FleetRun, claim: Claim, name: str) -> bool:
        pending = run.records[claim.job.job_id].pending
        places = [home.tasks for home in run.view.homes_of(claim.job.team)]
        if pending is not None:
            places.append(pending.plan.placement.tasks)
        return any(item.worker == name for place in places for item in place)

    def _forget_finished(self, run: fleet_runs.FleetRun) -> None:
        for job_id in list(self._live):
            record = run.records.get(job_id)
            if record is not None and record.left_s == 0.0:
                del self._live[job_id]

    def _check_gangs(self, run: fleet_runs.FleetRun) -> None:
        for running in run.fakes.running.values():
            for item in running.placement.tasks:
                worker = run.fakes.workers[item.worker]
                holders = {worker.holders.get(number) for number in item.accelerators}
                if not worker.is_up or holders != {running.job.job_id}:
                    self._violations.append(f"part of {running.job.job_id} runs alone")

    def _check_unstoppable(self, run: fleet_runs.FleetRun) -> None:
        owners = {
            (item.worker, number): home.team
            for home in run.view.all_homes()
            for item in home.tasks
            for number in item.accelerators
        }
        for running in run.fakes.running.values():
            if running.job.stoppable:
                continue
            for item in running.placement.tasks:
                for number in item.accelerators:
                    owner = owners.get((item.worker, number), running.job.team)
                    if owner != running.job.team:
                        self._violations.append(f"{running.job.job_id} can't leave {owner}'s home")


def _order(claim: Claim, now_s: float) -> tuple[int, float, str]:
    promoted = int((now_s - claim.claimed_s) / queues.PROMOTE_AFTER_S)
    urgency = max(0, queues.URGENCY_RANKS[claim.job.urgency] - promoted)
    return (urgency, claim.claimed_s, claim.job.job_id)
