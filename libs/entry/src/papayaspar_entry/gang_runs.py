"""One run of a gang, from the reservation of its accelerators to its end."""

import random

import anyio
import attrs

from papayaspar_entry import gang_calls, job_table, records
from papayaspar_events import journal, lines
from papayaspar_model import errors, work, workers
from papayaspar_placement import ends, entitlements, queues, reclaims
from papayaspar_slots import claims, inquiries, launches, messages, terms

STAMP_MILLISECOND_SHIFT_BITS = 22
FOLLOW_WAIT_S = 5.0
INQUIRE_PAUSE_S = 0.5
LOST_AFTER_S = 12.0
UNKNOWN_AFTER_S = 60.0
REFUSED_PAUSE_MIN_S = 0.05
REFUSED_PAUSE_MAX_S = 0.3
REFUSED_WAIT_MAX_S = 1.0
FAILURES_MAX = 3

END_STATES = {
    messages.GangState.DONE: work.JobState.DONE,
    messages.GangState.FAILED: work.JobState.FAILED,
    messages.GangState.CANCELLED: work.JobState.CANCELLED,
}


@attrs.frozen
class Gang:
    """One attempt of a job.

    :param fence: job and attempt.
    :param members: its workers, the lead first.
    """

    fence: claims.Fence
    members: tuple[str, ...]

    @property
    def lead(self) -> str:
        """Worker whose agent leads the gang."""
        return self.members[0]


@attrs.frozen
class RunEnd:
    """How a run came out.

    :param gang: the attempt.
    :param ended: the end of the job, or ``None`` when it is to be placed again.
    """

    gang: Gang
    ended: records.JobEnded | None = None


class GangRuns:
    """Launches gangs and follows them.

    :param agents: the agents as gangs need them.
    :param launcher: reserves and launches.
    :param expected: learns how long gangs run.
    :param record: the process's journal.
    :param times: times of the gang protocol.
    """

    def __init__(
        self,
        agents: gang_calls.StreamGangAgents,
        launcher: launches.Launcher,
        expected: ends.EndEstimator,
        record: journal.Journal,
        times: terms.Terms,
    ) -> None:
        self._agents = agents
        self._launcher = launcher
        self._inquirer = inquiries.Inquirer(agents, times)
        self._expected = expected
        self._journal = record
        self._failures: dict[str, int] = {}

    async def launch(self, known: job_table.KnownJob, decision: queues.Decision) -> RunEnd:
        """Place a job's gang where a decision says, and follow it to its end.

        :param known: the job.
        :param decision: where.
        """
        job = known.job
        placement = decision.plan.placement
        gang = _gang(job.job_id, self._next_attempt(), placement)
        self._record(lines.EventKind.JOB_PLACED, job, gang)
        try:
            # On a team's own home the agents themselves see to it that others leave, and a gang
            # that is moved has left already.
            if not placement.guarantee and not decision.is_move:
                await self.give_way(decision.plan)
            await self._launcher.launch(job, placement, gang.fence.attempt)
        except launches.LaunchUnknownError:
            return await self._follow(known, gang)
        except errors.PapayasparError as error:
            # Another entry may have been first; a random pause keeps the two from meeting again.
            self._record(lines.EventKind.JOB_REFUSED, job, gang, code=error.code)
            wait_s = min(error.retry_after_s or 0.0, REFUSED_WAIT_MAX_S)
            await anyio.sleep(wait_s + random.uniform(REFUSED_PAUSE_MIN_S, REFUSED_PAUSE_MAX_S))
            return RunEnd(gang)
        self._record(lines.EventKind.JOB_STARTED, job, gang)
        return await self._follow(known, gang)

    async def adopt(self, known: job_table.KnownJob, running: entitlements.RunningGang) -> RunEnd:
        """Follow a gang that another entry launched.

        :param known: the job.
        :param running: its gang as the agents report it.
        """
        fence = claims.Fence(running.name.job_id, running.name.attempt)
        others = {item.worker for item in running.ranges} - {running.lead_worker}
        gang = Gang(fence, (running.lead_worker, *sorted(others)))
        self._record(lines.EventKind.JOB_ADOPTED, known.job, gang)
        return await self._follow(known, gang)

    async def acknowledge(self, run: RunEnd) -> None:
        """Let the lead forget a gang whose end is on the log."""
        await self._inquirer.acknowledge(run.gang.fence, run.gang.lead)

    async def give_way(self, plan: reclaims.ReclaimPlan) -> None:
        """Ask the gangs that a plan names to save their work and leave.

        :param plan: a place and its victims.
        :raises PapayasparError: when a lead can't be asked.
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
            await self._agents.give_way(victim.lead_worker, fence)

    async def _follow(self, known: job_table.KnownJob, gang: Gang) -> RunEnd:
        state: messages.GangState | None = None
        while True:
            if known.is_cancelled:
                await self._cancel(gang)
            try:
                status = await self._inquirer.follow(gang.fence, gang.lead, state, FOLLOW_WAIT_S)
            except errors.PapayasparError:
                heard = await self._hear(known, gang)
                if heard is None:
                    return await self._give_up(known, gang)
                status = heard
            state = status.state
            if state.over:
                return await self._conclude(known, gang, status)

    async def _hear(self, known: job_table.KnownJob, gang: Gang) -> messages.GangStatus | None:
        """Wait for a lead that does not answer; its gang may be well, so it is left alone.

        :return: its status, or ``None`` when it knows no such gang or does not come back.
        """
        patience_s = LOST_AFTER_S if known.job.idempotent else UNKNOWN_AFTER_S
        with anyio.move_on_after(patience_s):
            while True:
                try:
                    return await self._inquirer.follow(gang.fence, gang.lead)
                except errors.NotFoundError:
                    # The lead answers and has no such gang: the caller settles it.
                    return None
                except errors.PapayasparError:
                    # Silence says nothing about the gang; its lead is asked until time is up.
                    await anyio.sleep(INQUIRE_PAUSE_S)
        return None

    async def _give_up(self, known: job_table.KnownJob, gang: Gang) -> RunEnd:
        """See to it that a gang without a lead is over, and judge what it came to."""
        try:
            status = await self._inquirer.retire(gang.fence, gang.members)
            return await self._conclude(known, gang, status)
        except errors.PapayasparError:
            # Too few agents answer to tell; both outcomes below are recorded with their code.
            pass
        if known.job.idempotent:
            self._record(lines.EventKind.GANG_WITHDRAWN, known.job, gang, code="lost")
            return RunEnd(gang)
        # It may still run, or have run; what can't be proved not to have run never runs again.
        unknown = work.JobState.UNKNOWN
        code = errors.OutcomeUnknownError.code
        return RunEnd(gang, records.JobEnded(known.job.job_id, unknown, gang.fence.attempt, code))

    async def _conclude(
        self, known: job_table.KnownJob, gang: Gang, status: messages.GangStatus
    ) -> RunEnd:
        await anyio.sleep(status.safe_after_s or 0.0)
        job = known.job
        is_done = status.state is messages.GangState.DONE
        self._expected.ended(job.job_id, status.ran_s if is_done else None)
        if self._may_run_again(known, status):
            self._record(lines.EventKind.GANG_WITHDRAWN, job, gang, code=status.state.value)
            return RunEnd(gang)
        self._failures.pop(job.job_id, None)
        state = END_STATES.get(status.state, work.JobState.UNKNOWN)
        if known.is_cancelled and not is_done:
            state = work.JobState.CANCELLED
        ended = records.JobEnded(job.job_id, state, gang.fence.attempt, status.code)
        return RunEnd(gang, ended)

    def _may_run_again(self, known: job_table.KnownJob, status: messages.GangStatus) -> bool:
        if known.is_cancelled or status.state is messages.GangState.DONE:
            return False
        has_started = status.started > 0 or status.ran_s > 0
        if has_started and not known.job.stoppable:
            return False
        if status.state is not messages.GangState.FAILED:
            return True
        failures = self._failures.get(known.job.job_id, 0) + 1
        self._failures[known.job.job_id] = failures
        return failures < FAILURES_MAX

    async def _cancel(self, gang: Gang) -> None:
        try:
            await self._agents.cancel(gang.lead, gang.fence)
        except errors.PapayasparError:
            await anyio.sleep(INQUIRE_PAUSE_S)

    def _next_attempt(self) -> int:
        """Return an attempt number above every one this entry can have heard of.

        The hybrid clock goes beyond every stamp that agents sent, so it is above the attempt of
        any gang of which an agent told this entry, whichever entry launched it.
        """
        return self._journal.stamps.tick() >> STAMP_MILLISECOND_SHIFT_BITS

    def _record(self, kind: lines.EventKind, job: work.Job, gang: Gang, code: str = "") -> None:
        self._journal.record(
            kind,
            worker=gang.lead,
            team=job.team,
            job=job.job_id,
            attempt=gang.fence.attempt,
            code=code,
        )


def _gang(job_id: str, attempt: int, placement: workers.Placement) -> Gang:
    lead = placement.tasks[0].worker
    others = {task.worker for task in placement.tasks} - {lead}
    return Gang(claims.Fence(job_id, attempt), (lead, *sorted(others)))
