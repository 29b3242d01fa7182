"""Runs of gangs, from the reservation of accelerators to the result."""

import random

import anyio
import attrs

from papayaspar_entry import gang_calls, job_table, records
from papayaspar_events import journal, lines
from papayaspar_model import errors, work, workers
from papayaspar_placement import completions, entitlements, preemptions, queues
from papayaspar_slots import claims, gang_clients, launches, messages, timings

# Drops the 12 counter bits of a stamp and 10 bits of its microseconds, so an attempt number is
# a time in units of 1,024 microseconds.
STAMP_TO_ATTEMPT_SHIFT_BITS = 22
FOLLOW_WAIT_S = 5.0
INQUIRE_INTERVAL_S = 0.5
LOST_AFTER_S = 12.0
UNKNOWN_AFTER_S = 60.0
REFUSED_BACKOFF_MIN_S = 0.05
REFUSED_BACKOFF_MAX_S = 0.3
RETRY_AFTER_MAX_S = 1.0
FAILURES_MAX = 3

END_STATES = {
    messages.GangState.DONE: work.JobState.DONE,
    messages.GangState.FAILED: work.JobState.FAILED,
    messages.GangState.CANCELLED: work.JobState.CANCELLED,
}


@attrs.frozen
class Gang:
    """The gang of one attempt of a job.

    :param fence: job and attempt.
    :param members: names of the gang's workers, the lead first.
    """

    fence: claims.Fence
    members: tuple[str, ...]

    @property
    def lead(self) -> str:
        """Worker whose agent leads the gang."""
        return self.members[0]


@attrs.frozen
class RunResult:
    """Result of a run of a gang.

    :param gang: gang that ran.
    :param ended: result of the job, or ``None`` if the job is to be placed again.
    :param safe_after_s: time until no part of the gang can be running any more, in seconds.
    """

    gang: Gang
    ended: records.JobEnded | None = None
    safe_after_s: float = 0.0


class GangRuns:
    """Launches gangs and follows them to their results.

    :param agents: sender of gang messages to agents.
    :param launcher: reserves accelerators and launches gangs.
    :param estimator: estimator of completion times, updated with measured run times.
    :param event_journal: journal of this process's events.
    :param times: timeouts of the gang protocol.
    """

    def __init__(
        self,
        agents: gang_calls.StreamGangAgents,
        launcher: launches.Launcher,
        estimator: completions.CompletionEstimator,
        event_journal: journal.Journal,
        times: timings.Timings,
    ) -> None:
        self._agents = agents
        self._launcher = launcher
        self._gang_client = gang_clients.GangClient(agents, times)
        self._estimator = estimator
        self._journal = event_journal

    def next_attempt(self) -> int:
        """Return an attempt number greater than that of every gang reported to this entry.

        The hybrid clock is ahead of every stamp received from agents, so it is above the attempt
        of each reported gang, whichever entry launched it.
        """
        return self._journal.hybrid_clock.tick() >> STAMP_TO_ATTEMPT_SHIFT_BITS

    async def launch(
        self, tracked: job_table.TrackedJob, decision: queues.Decision, attempt: int
    ) -> RunResult:
        """Launch a job's gang according to a placement decision, and follow it to its result.

        :param tracked: job to run.
        :param decision: placement of the gang and the gangs to preempt.
        :param attempt: number of the attempt, from :meth:`next_attempt`.
        """
        job = tracked.job
        placement = decision.plan.placement
        gang = _make_gang(job.job_id, attempt, placement)
        self._record(lines.EventKind.JOB_PLACED, job, gang)
        try:
            # On a home, the agents preempt other teams' gangs themselves; a gang that is moved
            # has already released its accelerators.
            if not placement.guarantee and not decision.is_move:
                await self.preempt(decision.plan)
            await self._launcher.launch(job, placement, gang.fence.attempt)
        except launches.LaunchUnknownError:
            return await self._follow(tracked, gang)
        except errors.PapayasparError as error:
            # Another entry may have reserved the accelerators first; a random backoff keeps the two
            # entries from colliding again.
            self._record(lines.EventKind.JOB_REFUSED, job, gang, code=error.code)
            wait_s = min(error.retry_after_s or 0.0, RETRY_AFTER_MAX_S)
            await anyio.sleep(wait_s + random.uniform(REFUSED_BACKOFF_MIN_S, REFUSED_BACKOFF_MAX_S))
            return RunResult(gang)
        self._record(lines.EventKind.JOB_STARTED, job, gang)
        return await self._follow(tracked, gang)

    async def adopt(
        self, tracked: job_table.TrackedJob, running: entitlements.RunningGang
    ) -> RunResult:
        """Follow a gang that another entry launched.

        :param tracked: job of the gang.
        :param running: the running gang as reported by the agents.
        """
        fence = claims.Fence(running.name.job_id, running.name.attempt)
        others = {held.worker for held in running.accelerator_ranges} - {running.lead_worker}
        gang = Gang(fence, (running.lead_worker, *sorted(others)))
        self._record(lines.EventKind.JOB_ADOPTED, tracked.job, gang)
        return await self._follow(tracked, gang)

    async def acknowledge(self, result: RunResult) -> None:
        """Allow the lead to delete a gang whose result is on the log."""
        await self._gang_client.acknowledge(result.gang.fence, result.gang.lead)

    async def preempt(self, plan: preemptions.PreemptionPlan) -> None:
        """Preempt the victims of a plan: they save their work and release their accelerators.

        :param plan: placement and the gangs to preempt for it.
        :raises PapayasparError: if a lead can't be reached.
        """
        for victim in plan.victims:
            self._journal.record(
                lines.EventKind.JOB_RECLAIMED,
                worker=victim.lead_worker,
                team=victim.team,
                job=victim.gang.job_id,
                attempt=victim.gang.attempt,
            )
            fence = claims.Fence(victim.gang.job_id, victim.gang.attempt)
            await self._agents.preempt(victim.lead_worker, fence)

    async def _follow(self, tracked: job_table.TrackedJob, gang: Gang) -> RunResult:
        state: messages.GangState | None = None
        while True:
            if tracked.is_cancelled:
                await self._cancel(gang)
            try:
                status = await self._gang_client.wait_for_status(
                    gang.fence, gang.lead, state, FOLLOW_WAIT_S
                )
            except errors.PapayasparError:
                resumed = await self._wait_for_lead(tracked, gang)
                if resumed is None:
                    return await self._resolve_lost_gang(tracked, gang)
                status = resumed
            state = status.state
            if state.over:
                return self._conclude(tracked, gang, status)

    async def _wait_for_lead(
        self, tracked: job_table.TrackedJob, gang: Gang
    ) -> messages.GangStatus | None:
        """Query an unreachable lead again until it answers or a timeout elapses.

        The gang may still be running, so it isn't stopped.

        :return: status of the gang, or ``None`` if the lead has no such gang or stays unreachable.
        """
        timeout_s = LOST_AFTER_S if tracked.job.idempotent else UNKNOWN_AFTER_S
        with anyio.move_on_after(timeout_s):
            while True:
                try:
                    return await self._gang_client.wait_for_status(gang.fence, gang.lead)
                except errors.NotFoundError:
                    # The lead has no such gang; the caller determines the outcome.
                    return None
                except errors.PapayasparError:
                    # An unreachable lead is no evidence that the gang ended: retry until timeout.
                    await anyio.sleep(INQUIRE_INTERVAL_S)
        return None

    async def _resolve_lost_gang(self, tracked: job_table.TrackedJob, gang: Gang) -> RunResult:
        """Retire a gang whose lead is lost, and determine its result from its members."""
        try:
            status = await self._gang_client.end_gang(gang.fence, gang.members)
            return self._conclude(tracked, gang, status)
        except errors.PapayasparError:
            # Too few agents answered; each outcome below is recorded with its own code.
            pass
        if tracked.job.idempotent:
            tracked.is_partly_done |= tracked.job.checkpoint
            self._record(lines.EventKind.GANG_WITHDRAWN, tracked.job, gang, code="lost")
            return RunResult(gang)
        # The gang may be running or may have run, so the non-idempotent job isn't run again.
        unknown = work.JobState.UNKNOWN
        code = errors.OutcomeUnknownError.code
        return RunResult(
            gang, records.JobEnded(tracked.job.job_id, unknown, gang.fence.attempt, code)
        )

    def _conclude(
        self, tracked: job_table.TrackedJob, gang: Gang, status: messages.GangStatus
    ) -> RunResult:
        job = tracked.job
        safe_after_s = status.safe_after_s or 0.0
        is_done = status.state is messages.GangState.DONE
        is_whole_run = is_done and not tracked.is_partly_done
        self._estimator.record_end(job.job_id, status.ran_s if is_whole_run else None)
        tracked.is_partly_done |= job.checkpoint
        if self._may_retry(tracked, gang, status):
            self._record(lines.EventKind.GANG_WITHDRAWN, job, gang, code=status.state.value)
            return RunResult(gang, safe_after_s=safe_after_s)
        state = END_STATES.get(status.state, work.JobState.UNKNOWN)
        if tracked.is_cancelled and not is_done:
            state = work.JobState.CANCELLED
        ended = records.JobEnded(job.job_id, state, gang.fence.attempt, status.code)
        return RunResult(gang, ended, safe_after_s)

    def _may_retry(
        self, tracked: job_table.TrackedJob, gang: Gang, status: messages.GangStatus
    ) -> bool:
        if tracked.is_cancelled or status.state is messages.GangState.DONE:
            return False
        has_started = status.started > 0 or status.ran_s > 0
        if has_started and not tracked.job.stoppable:
            return False
        if status.state is not messages.GangState.FAILED:
            return True
        tracked.failed_attempts.add(gang.fence.attempt)
        return len(tracked.failed_attempts) < FAILURES_MAX

    async def _cancel(self, gang: Gang) -> None:
        try:
            await self._agents.cancel(gang.lead, gang.fence)
        except errors.PapayasparError:
            await anyio.sleep(INQUIRE_INTERVAL_S)

    def _record(self, kind: lines.EventKind, job: work.Job, gang: Gang, code: str = "") -> None:
        self._journal.record(
            kind,
            worker=gang.lead,
            team=job.team,
            job=job.job_id,
            attempt=gang.fence.attempt,
            code=code,
        )


def _make_gang(job_id: str, attempt: int, placement: workers.Placement) -> Gang:
    lead = placement.tasks[0].worker
    others = {task.worker for task in placement.tasks} - {lead}
    return Gang(claims.Fence(job_id, attempt), (lead, *sorted(others)))
