"""Jobs of this entry: accepted on the log, queued, placed, followed to their end.

What runs is what the agents report; the log only says which jobs were accepted and which ended. So
an entry that starts, or takes over from one that is gone, needs no hand-over from it.
"""

import anyio
import anyio.abc

from papayaspar_entry import (
    appends,
    entry_links,
    gang_runs,
    homekeeper,
    job_owners,
    job_table,
    moves,
    records,
    rulebook,
)
from papayaspar_events import journal, lines
from papayaspar_model import clock, errors, identifiers, work
from papayaspar_placement import entitlements, fleet, queues
from papayaspar_platform import followers, logs

SCHEDULE_INTERVAL_S = 0.25
SCHEDULE_SPACING_S = 0.02
RACKS_INTERVAL_S = 1.0
ADOPT_GRACE_S = 3.0
CLAIM_TIMEOUT_S = 5.0
UNKNOWN_AFTER_S = 60.0
REPEAT_INTERVAL_S = 300.0


class JobBoard:
    """Accepts jobs and takes them to their end.

    :param log: the platform's log.
    :param book: the rules of this entry.
    :param keeper: the homes of guarantees.
    :param links: streams to the other entries, which share the jobs.
    :param view: the fleet as this entry sees it.
    :param queue: order and placement of the waiting jobs.
    :param runs: runs of gangs.
    :param record: the process's journal.
    :param clock_source: clock of the machine.
    """

    def __init__(
        self,
        log: logs.Log,
        book: rulebook.Rulebook,
        keeper: homekeeper.Homekeeper,
        links: entry_links.EntryLinks,
        view: fleet.FleetView,
        queue: queues.JobQueue,
        runs: gang_runs.GangRuns,
        record: journal.Journal,
        clock_source: clock.Clock,
    ) -> None:
        self._log = log
        self._book = book
        self._keeper = keeper
        self._view = view
        self._queue = queue
        self._runs = runs
        self._owners = job_owners.JobOwners(links)
        self._moves = moves.Moves(runs, view)
        self._journal = record
        self._clock = clock_source
        self._appender = appends.Appender(log, records.JOBS_STREAM)
        self._claim_id = identifiers.new_id("claim")
        self._busy: set[str] = set()
        self._queued: set[str] = set()
        self._mine_since_s: dict[str, float] = {}
        self._fresh: set[str] = set()
        self.table = job_table.JobTable()

    async def submit(self, job: work.Job) -> None:
        """Accept a job: it is on the log when this returns.

        :param job: the job.
        :raises UnknownTeamError: the rules know no such team.
        :raises UnplaceableError: nothing that could exist can hold it.
        :raises LogUnavailableError: the log is away; its ``ran`` is ``no``, for a job whose record
            got through all the same never has an identifier that a caller knows.
        """
        if self._book.rules.team(job.team) is None:
            raise errors.UnknownTeamError(f"no team {job.team}", field="team")
        self._queue.check(job)
        record = records.JobAccepted(job, self._clock.wall_s())
        offset = await self._appender.append(records.encode(record))
        self._note_fresh(record)
        self.table.apply(record, offset)
        self._record(lines.EventKind.JOB_ACCEPTED, job)

    async def cancel(self, job_id: str) -> None:
        """Take a job back; its gang, if one runs, ends within a lease.

        :param job_id: the job.
        :raises NotFoundError: no such job.
        :raises LogUnavailableError: the log is away, and the job goes on.
        """
        known = self.table.get(job_id)
        if known is None:
            raise errors.NotFoundError(f"no job {job_id}", field="job_id")
        if known.ended is not None:
            return
        record = records.JobCancelled(job_id)
        offset = await self._appender.append(records.encode(record))
        self.table.apply(record, offset)

    async def wait_for_end(self, job_id: str, wait_s: float) -> job_table.KnownJob:
        """Return a job, after waiting for its end.

        :param job_id: the job.
        :param wait_s: longest wait in seconds.
        :raises NotFoundError: no such job.
        """
        known = self.table.get(job_id)
        if known is None:
            raise errors.NotFoundError(f"no job {job_id}", field="job_id")
        with anyio.move_on_after(wait_s):
            while known.ended is None:
                await self.table.changes.wait_beyond(self.table.changes.sequence)
        return known

    def state(self, known: job_table.KnownJob) -> work.JobState:
        """Return where a job stands, by the log and by what the agents report."""
        if known.ended is not None:
            return known.ended.state
        gang = self._view.gang(known.job.job_id)
        if gang is None or gang.name.attempt <= known.concluded_attempt:
            return work.JobState.QUEUED
        workers = (self._view.worker(item.worker) for item in gang.ranges)
        uses = (use for worker in workers if worker is not None for use in worker.report.gangs)
        if any(use.job_id == known.job.job_id and use.elapsed_s > 0 for use in uses):
            return work.JobState.RUNNING
        return work.JobState.QUEUED

    async def run(self) -> None:
        """Serve the jobs until cancelled; runs in a task of its own."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._appender.run)
            group.start_soon(self._follow)
            group.start_soon(self._repeat_records)
            group.start_soon(self._apply_rules)
            await self._schedule(group)

    async def _follow(self) -> None:
        follower = followers.Follower(self._log, records.JOBS_STREAM)
        while True:
            batch = await follower.next_batch()
            for item in batch.records:
                try:
                    record = records.decode(item.data)
                except records.InvalidRecordError:
                    # Every reader passes the same bytes over, so all tables stay alike.
                    continue
                if isinstance(record, records.HomesPacked):
                    continue
                if isinstance(record, records.JobAccepted) and follower.is_caught_up:
                    self._note_fresh(record)
                self.table.apply(record, item.offset)

    def _note_fresh(self, record: records.JobAccepted) -> None:
        """Remember a job that no entry can have launched before, so it need not wait."""
        job_id = record.job.job_id
        if self.table.get(job_id) is None and self._owners.is_mine(job_id):
            self._fresh.add(job_id)

    async def _repeat_records(self) -> None:
        while True:
            await anyio.sleep(REPEAT_INTERVAL_S)
            for known in self.table.open_jobs():
                if not self._owners.is_mine(known.job.job_id):
                    continue
                record = records.JobAccepted(known.job, known.accepted_wall_s, known.claim_id)
                try:
                    await self._appender.append(records.encode(record))
                except errors.PapayasparError:
                    break

    async def _apply_rules(self) -> None:
        while True:
            seen = self._book.changes.sequence
            racks = self._view.known_racks()
            self._queue.set_rules(self._book.rules, racks, self._keeper.packed.homes)
            with anyio.move_on_after(RACKS_INTERVAL_S):
                await self._book.changes.wait_beyond(seen)

    async def _schedule(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            seen = self.table.changes.sequence
            self._sort_jobs(group)
            now_s = self._clock.now_s()
            for decision in self._queue.schedule(self._view, now_s):
                if decision.is_move:
                    group.start_soon(self._moves.begin, decision)
                    continue
                self._queued.discard(decision.job.job_id)
                self._start(group, decision)
            with anyio.move_on_after(SCHEDULE_INTERVAL_S):
                await self.table.changes.wait_beyond(seen)
            await anyio.sleep(SCHEDULE_SPACING_S)

    def _sort_jobs(self, group: anyio.abc.TaskGroup) -> None:
        """Queue, adopt or drop each open job, according to what is known of it now."""
        now_s = self._clock.now_s()
        for known in self.table.open_jobs():
            job_id = known.job.job_id
            if not self._owners.is_mine(job_id):
                self._mine_since_s.pop(job_id, None)
                self._unqueue(job_id)
                continue
            self._mine_since_s.setdefault(job_id, now_s)
            if job_id in self._busy:
                continue
            gang = self._view.gang(job_id)
            if gang is not None and gang.name.attempt > known.concluded_attempt:
                self._unqueue(job_id)
                self._adopt(group, known, gang)
                continue
            if known.is_cancelled:
                self._unqueue(job_id)
                self._end(group, known, work.JobState.CANCELLED)
                continue
            self._enqueue(group, known, now_s)

    def _enqueue(self, group: anyio.abc.TaskGroup, known: job_table.KnownJob, now_s: float) -> None:
        job_id = known.job.job_id
        if job_id in self._queued:
            return
        if known.claim_id not in ("", self._claim_id):
            self._wait_for_claimant(group, known, now_s)
            return
        # The entry before may have launched it a moment ago, and its agents not reported yet.
        is_settled = now_s - self._mine_since_s[job_id] >= ADOPT_GRACE_S
        if job_id not in self._fresh and not is_settled:
            return
        try:
            self._queue.submit(known.job, known.accepted_wall_s - self._wall_offset_s())
        except errors.UnplaceableError as error:
            self._end(group, known, work.JobState.FAILED, error.code)
            return
        self._queued.add(job_id)

    def _wait_for_claimant(
        self, group: anyio.abc.TaskGroup, known: job_table.KnownJob, now_s: float
    ) -> None:
        """Give up on a job whose claimant launched it, or not, and is gone."""
        if now_s - self._mine_since_s[known.job.job_id] < UNKNOWN_AFTER_S:
            return
        code = errors.OutcomeUnknownError.code
        self._end(group, known, work.JobState.UNKNOWN, code)

    def _unqueue(self, job_id: str) -> None:
        if job_id in self._queued:
            self._queued.discard(job_id)
            self._queue.cancel(job_id)

    def _start(self, group: anyio.abc.TaskGroup, decision: queues.Decision) -> None:
        known = self.table.get(decision.job.job_id)
        if known is None:
            return
        self._busy.add(decision.job.job_id)
        group.start_soon(self._run_gang, known, decision)

    def _adopt(
        self,
        group: anyio.abc.TaskGroup,
        known: job_table.KnownJob,
        gang: entitlements.RunningGang,
    ) -> None:
        self._busy.add(known.job.job_id)
        group.start_soon(self._follow_gang, known, gang)

    def _end(
        self,
        group: anyio.abc.TaskGroup,
        known: job_table.KnownJob,
        state: work.JobState,
        code: str = "",
    ) -> None:
        self._busy.add(known.job.job_id)
        ended = records.JobEnded(known.job.job_id, state, code=code)
        group.start_soon(self._record_end, known, ended)

    async def _run_gang(self, known: job_table.KnownJob, decision: queues.Decision) -> None:
        try:
            if known.job.idempotent or await self._claim(known):
                await self._run_to_end(known, decision)
        finally:
            self._busy.discard(known.job.job_id)
            self.table.changes.changed()

    async def _run_to_end(self, known: job_table.KnownJob, decision: queues.Decision) -> None:
        """Run a gang, and run it on where it is moved to."""
        place: queues.Decision | None = decision
        while place is not None:
            run = await self._runs.launch(known, place)
            place = self._moves.take(known.job.job_id)
            await self._finish(known, run)
            if run.ended is not None or known.is_cancelled:
                return
            if place is not None:
                self._view.assume(known.job, place.plan.placement)

    async def _claim(self, known: job_table.KnownJob) -> bool:
        """Claim a non-idempotent job on the log, so that no other entry launches it too.

        :param known: the job.
        :return: whether the claim is this entry's; it holds for as long as this entry lives.
        """
        if not known.claim_id:
            record = records.JobClaimed(known.job.job_id, self._claim_id)
            try:
                await self._appender.append(records.encode(record))
            except errors.PapayasparError:
                await anyio.sleep(SCHEDULE_INTERVAL_S)
            with anyio.move_on_after(CLAIM_TIMEOUT_S):
                while not known.claim_id:
                    await self.table.changes.wait_beyond(self.table.changes.sequence)
        is_won = known.claim_id == self._claim_id
        if not is_won:
            self._view.release(known.job.job_id)
        return is_won

    async def _follow_gang(self, known: job_table.KnownJob, gang: entitlements.RunningGang) -> None:
        try:
            ended = await self._runs.adopt(known, gang)
            await self._finish(known, ended)
        finally:
            self._busy.discard(known.job.job_id)
            self.table.changes.changed()

    async def _finish(self, known: job_table.KnownJob, run: gang_runs.RunEnd) -> None:
        self._view.release(known.job.job_id)
        known.concluded_attempt = max(known.concluded_attempt, run.gang.fence.attempt)
        if run.ended is not None:
            await self._record_end(known, run.ended)
            await self._runs.acknowledge(run)

    async def _record_end(self, known: job_table.KnownJob, ended: records.JobEnded) -> None:
        """Put an end on the log, however long the log is away."""
        while True:
            try:
                offset = await self._appender.append(records.encode(ended))
                break
            except errors.PapayasparError:
                await anyio.sleep(SCHEDULE_INTERVAL_S)
        self.table.apply(ended, offset)
        self._busy.discard(known.job.job_id)
        self._mine_since_s.pop(known.job.job_id, None)
        self._fresh.discard(known.job.job_id)
        kind = lines.EventKind.JOB_FINISHED
        self._record(kind, known.job, ended.attempt, ended.code, ended.state.value)

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
