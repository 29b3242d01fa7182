"""Jobs of this entry: accepted on the log, queued, placed and followed to their results.

Running gangs are those that the agents report; the log records only which jobs were accepted and
which ended. So an entry that starts, or takes over jobs of an entry that failed, needs no state
from another entry.
"""

import anyio
import anyio.abc

from papayaspar_entry import (
    appends,
    entry_links,
    failed_runs,
    gang_moves,
    gang_runs,
    home_manager,
    job_claims,
    job_owners,
    job_table,
    records,
    rules_manager,
)
from papayaspar_events import journal, lines
from papayaspar_model import clock, errors, work
from papayaspar_placement import entitlements, fleet, queues
from papayaspar_platform import followers, logs

SCHEDULE_INTERVAL_S = 0.25
SCHEDULE_SPACING_S = 0.02
RACK_CHECK_INTERVAL_S = 1.0
ADOPT_GRACE_S = 3.0
UNKNOWN_AFTER_S = 60.0
REPEAT_INTERVAL_S = 300.0


class JobManager:
    """Accepts jobs and runs them to completion.

    :param log: client of the platform's log.
    :param rules: manager of the rules in force.
    :param homes: manager of the homes of guarantees.
    :param links: streams to the other entries, among which the jobs are divided.
    :param view: this entry's view of the fleet.
    :param queue: queue that orders and places the waiting jobs.
    :param runs: launches and follows gangs.
    :param event_journal: journal of this process's events.
    :param clock_source: source of monotonic and wall-clock time.
    """

    def __init__(
        self,
        log: logs.Log,
        rules: rules_manager.RulesManager,
        homes: home_manager.HomeManager,
        links: entry_links.EntryLinks,
        view: fleet.FleetView,
        queue: queues.JobQueue,
        runs: gang_runs.GangRuns,
        event_journal: journal.Journal,
        clock_source: clock.Clock,
    ) -> None:
        self._log = log
        self._rules = rules
        self._homes = homes
        self._view = view
        self._queue = queue
        self._runs = runs
        self._owners = job_owners.JobOwners(links)
        self._gang_moves = gang_moves.GangMoves(runs, view)
        self._journal = event_journal
        self._clock = clock_source
        self._appender = appends.Appender(log, records.JOBS_STREAM)
        self._active_jobs: set[str] = set()
        self._queued_jobs: set[str] = set()
        self._owned_since_s: dict[str, float] = {}
        self._new_jobs: set[str] = set()
        self.table = job_table.JobTable()
        self._claims = job_claims.JobClaims(self._appender, self.table)
        self._failed_runs = failed_runs.FailedRunRecorder(self._appender)

    async def submit(self, job: work.Job) -> None:
        """Accept a job and append it to the log.

        :param job: job to accept.
        :raises UnknownTeamError: if the rules have no such team.
        :raises UnplaceableError: if no possible set of workers can hold the job.
        :raises LogUnavailableError: if the log is unavailable; ``ran`` is ``no``, because even if
            the record was appended, no caller has received the identifier of the job.
        """
        if self._rules.current.team(job.team) is None:
            raise errors.UnknownTeamError(f"team {job.team} does not exist", field="team")
        self._queue.check(job)
        record = records.JobAccepted(job, self._clock.wall_s())
        offset = await self._appender.append(records.encode(record))
        self._mark_if_new(record)
        self.table.apply(record, offset)
        self._record(lines.EventKind.JOB_ACCEPTED, job)

    async def cancel(self, job_id: str) -> None:
        """Cancel a job; its gang, if one is running, stops within the time of a lease.

        :param job_id: identifier of the job.
        :raises NotFoundError: if the job does not exist.
        :raises LogUnavailableError: if the log is unavailable; the job is not cancelled.
        """
        tracked = self.table.get(job_id)
        if tracked is None:
            raise errors.NotFoundError(f"job {job_id} does not exist", field="job_id")
        if tracked.ended is not None:
            return
        record = records.JobCancelled(job_id)
        offset = await self._appender.append(records.encode(record))
        self.table.apply(record, offset)

    async def wait_for_completion(self, job_id: str, wait_s: float) -> job_table.TrackedJob:
        """Wait for the completion of a job and return the job, completed or not.

        :param job_id: identifier of the job.
        :param wait_s: longest wait in seconds.
        :raises NotFoundError: if the job does not exist.
        """
        tracked = self.table.get(job_id)
        if tracked is None:
            raise errors.NotFoundError(f"job {job_id} does not exist", field="job_id")
        with anyio.move_on_after(wait_s):
            while tracked.ended is None:
                await self.table.changes.wait_for_change(self.table.changes.sequence)
        return tracked

    def state(self, tracked: job_table.TrackedJob) -> work.JobState:
        """Return the state of a job, derived from the log and from the reports of the agents."""
        if tracked.ended is not None:
            return tracked.ended.state
        gang = self._view.gang(tracked.job.job_id)
        if gang is None or gang.name.attempt <= tracked.concluded_attempt:
            return work.JobState.QUEUED
        workers = (self._view.worker(held.worker) for held in gang.accelerator_ranges)
        uses = (use for worker in workers if worker is not None for use in worker.report.gangs)
        if any(use.job_id == tracked.job.job_id and use.elapsed_s > 0 for use in uses):
            return work.JobState.RUNNING
        return work.JobState.QUEUED

    async def run(self) -> None:
        """Schedule and follow the jobs until cancelled; run this in a separate task."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._appender.run)
            group.start_soon(self._follow)
            group.start_soon(self._failed_runs.run)
            group.start_soon(self._repeat_records)
            group.start_soon(self._apply_rules)
            await self._schedule(group)

    async def _follow(self) -> None:
        follower = followers.Follower(self._log, records.JOBS_STREAM)
        while True:
            batch = await follower.next_batch()
            for log_record in batch.records:
                try:
                    record = records.decode(log_record.data)
                except records.InvalidRecordError:
                    # Every reader ignores the same records, so all tables stay equal.
                    continue
                if isinstance(record, records.HomesPacked):
                    continue
                if isinstance(record, records.JobAccepted) and follower.is_caught_up:
                    self._mark_if_new(record)
                self.table.apply(record, log_record.offset)

    def _mark_if_new(self, record: records.JobAccepted) -> None:
        """Mark a job as new if it is: no entry can have launched it, so it is queued at once."""
        job_id = record.job.job_id
        if self.table.get(job_id) is None and self._owners.is_owned_here(job_id):
            self._new_jobs.add(job_id)

    async def _repeat_records(self) -> None:
        """Append the acceptance of each open job again before the log drops its record."""
        while True:
            await anyio.sleep(REPEAT_INTERVAL_S)
            for tracked in self.table.open_jobs():
                if not self._owners.is_owned_here(tracked.job.job_id):
                    continue
                record = records.JobAccepted(
                    tracked.job,
                    tracked.accepted_wall_s,
                    tracked.claim_id,
                    tuple(sorted(tracked.failed_attempts)),
                )
                try:
                    await self._appender.append(records.encode(record))
                except errors.PapayasparError:
                    break

    async def _apply_rules(self) -> None:
        while True:
            seen_sequence = self._rules.changes.sequence
            racks = self._view.known_racks()
            self._queue.set_rules(self._rules.current, racks, self._homes.packed.homes)
            with anyio.move_on_after(RACK_CHECK_INTERVAL_S):
                await self._rules.changes.wait_for_change(seen_sequence)

    async def _schedule(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            seen_sequence = self.table.changes.sequence
            self._update_jobs(group)
            now_s = self._clock.now_s()
            for decision in self._queue.schedule(self._view, now_s):
                if decision.is_move:
                    group.start_soon(self._gang_moves.begin, decision)
                    continue
                self._queued_jobs.discard(decision.job.job_id)
                self._start(group, decision)
            with anyio.move_on_after(SCHEDULE_INTERVAL_S):
                await self.table.changes.wait_for_change(seen_sequence)
            await anyio.sleep(SCHEDULE_SPACING_S)

    def _update_jobs(self, group: anyio.abc.TaskGroup) -> None:
        """Queue, adopt, cancel or dequeue each open job according to its current state."""
        now_s = self._clock.now_s()
        for tracked in self.table.open_jobs():
            job_id = tracked.job.job_id
            if not self._owners.is_owned_here(job_id):
                self._owned_since_s.pop(job_id, None)
                self._new_jobs.discard(job_id)
                self._dequeue(job_id)
                continue
            self._owned_since_s.setdefault(job_id, now_s)
            if job_id in self._active_jobs:
                continue
            gang = self._view.gang(job_id)
            if gang is not None and gang.name.attempt > tracked.concluded_attempt:
                self._dequeue(job_id)
                self._note_unknown_runs(tracked)
                self._adopt(group, tracked, gang)
                continue
            if tracked.is_cancelled:
                self._dequeue(job_id)
                self._start_recording(group, tracked, work.JobState.CANCELLED)
                continue
            self._enqueue(group, tracked, now_s)

    def _enqueue(
        self, group: anyio.abc.TaskGroup, tracked: job_table.TrackedJob, now_s: float
    ) -> None:
        job_id = tracked.job.job_id
        if job_id in self._queued_jobs:
            return
        if self._claims.is_foreign(tracked):
            self._expire_foreign_claim(group, tracked, now_s)
            return
        if len(tracked.failed_attempts) >= gang_runs.FAILURES_MAX:
            self._start_recording(group, tracked, work.JobState.FAILED)
            return
        # The previous owner may have launched the job, and its agents may not have reported yet.
        is_grace_over = now_s - self._owned_since_s[job_id] >= ADOPT_GRACE_S
        if job_id not in self._new_jobs and not is_grace_over:
            return
        try:
            self._queue.submit(tracked.job, tracked.accepted_wall_s - self._wall_offset_s())
        except errors.UnplaceableError as error:
            self._start_recording(group, tracked, work.JobState.FAILED, error.code)
            return
        self._note_unknown_runs(tracked)
        self._queued_jobs.add(job_id)

    def _note_unknown_runs(self, tracked: job_table.TrackedJob) -> None:
        """Note that another entry, or this one before a restart, may have done a part of a job."""
        if tracked.job.job_id not in self._new_jobs:
            tracked.is_partly_done |= tracked.job.checkpoint

    def _expire_foreign_claim(
        self, group: anyio.abc.TaskGroup, tracked: job_table.TrackedJob, now_s: float
    ) -> None:
        """Record an unknown result, after a timeout, for a job that another entry claimed.

        That entry has failed, and may or may not have launched the job.
        """
        if now_s - self._owned_since_s[tracked.job.job_id] < UNKNOWN_AFTER_S:
            return
        code = errors.OutcomeUnknownError.code
        self._start_recording(group, tracked, work.JobState.UNKNOWN, code)

    def _dequeue(self, job_id: str) -> None:
        if job_id in self._queued_jobs:
            self._queued_jobs.discard(job_id)
            self._queue.cancel(job_id)

    def _start(self, group: anyio.abc.TaskGroup, decision: queues.Decision) -> None:
        tracked = self.table.get(decision.job.job_id)
        if tracked is None:
            return
        self._active_jobs.add(decision.job.job_id)
        group.start_soon(self._run_gang, tracked, decision)

    def _adopt(
        self,
        group: anyio.abc.TaskGroup,
        tracked: job_table.TrackedJob,
        gang: entitlements.RunningGang,
    ) -> None:
        self._active_jobs.add(tracked.job.job_id)
        group.start_soon(self._follow_gang, tracked, gang)

    def _start_recording(
        self,
        group: anyio.abc.TaskGroup,
        tracked: job_table.TrackedJob,
        state: work.JobState,
        code: str = "",
    ) -> None:
        self._active_jobs.add(tracked.job.job_id)
        ended = records.JobEnded(tracked.job.job_id, state, code=code)
        group.start_soon(self._record_result, tracked, ended)

    async def _run_gang(self, tracked: job_table.TrackedJob, decision: queues.Decision) -> None:
        try:
            if tracked.job.idempotent or await self._claims.claim(tracked):
                await self._run_to_completion(tracked, decision)
            else:
                self._view.release(tracked.job.job_id)
        finally:
            self._active_jobs.discard(tracked.job.job_id)
            self.table.changes.notify()

    async def _run_to_completion(
        self, tracked: job_table.TrackedJob, decision: queues.Decision
    ) -> None:
        """Run a gang, and run it again in its new placement after each move."""
        next_decision: queues.Decision | None = decision
        while next_decision is not None:
            attempt = self._runs.next_attempt()
            self._view.expect_attempt(tracked.job.job_id, attempt)
            result = await self._runs.launch(tracked, next_decision, attempt)
            await self._wait_until_safe(tracked, result)
            next_decision = self._gang_moves.pop(tracked.job.job_id)
            await self._finish(tracked, result)
            if result.ended is not None or tracked.is_cancelled:
                return
            if next_decision is not None:
                self._view.assume(tracked.job, next_decision.plan.placement)

    async def _follow_gang(
        self, tracked: job_table.TrackedJob, gang: entitlements.RunningGang
    ) -> None:
        try:
            result = await self._runs.adopt(tracked, gang)
            await self._wait_until_safe(tracked, result)
            await self._finish(tracked, result)
        finally:
            self._active_jobs.discard(tracked.job.job_id)
            self.table.changes.notify()

    async def _wait_until_safe(
        self, tracked: job_table.TrackedJob, result: gang_runs.RunResult
    ) -> None:
        """Wait until no part of a run can be running any more, and release its accelerators.

        A failed run is recorded at once, and the log may be slow.
        """
        attempt = result.gang.fence.attempt
        async with anyio.create_task_group() as group:
            if attempt in tracked.failed_attempts:
                group.start_soon(self._failed_runs.record, tracked.job.job_id, attempt)
            await anyio.sleep(result.safe_after_s)
            self._view.release(tracked.job.job_id)

    async def _finish(self, tracked: job_table.TrackedJob, result: gang_runs.RunResult) -> None:
        tracked.concluded_attempt = max(tracked.concluded_attempt, result.gang.fence.attempt)
        if result.ended is not None:
            await self._record_result(tracked, result.ended)
            await self._runs.acknowledge(result)

    async def _record_result(self, tracked: job_table.TrackedJob, ended: records.JobEnded) -> None:
        """Append a result to the log, and retry until the log is available."""
        while True:
            try:
                offset = await self._appender.append(records.encode(ended))
                break
            except errors.PapayasparError:
                await anyio.sleep(SCHEDULE_INTERVAL_S)
        self.table.apply(ended, offset)
        self._active_jobs.discard(tracked.job.job_id)
        self._owned_since_s.pop(tracked.job.job_id, None)
        self._new_jobs.discard(tracked.job.job_id)
        kind = lines.EventKind.JOB_FINISHED
        self._record(kind, tracked.job, ended.attempt, ended.code, ended.state.value)

    def _wall_offset_s(self) -> float:
        return self._clock.wall_s() - self._clock.now_s()

    def _record(
        self,
        kind: lines.EventKind,
        job: work.Job,
        attempt: int = 0,
        code: str = "",
        detail: str = "",
    ) -> None:
        self._journal.record(
            kind, team=job.team, job=job.job_id, attempt=attempt, code=code, detail=detail
        )
