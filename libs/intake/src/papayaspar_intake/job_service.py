"""Submission, status and cancellation of jobs, independent of the callers' protocol."""

from collections.abc import Callable

import anyio

from papayaspar_events import journal, lines
from papayaspar_intake import access, admission
from papayaspar_jobs import registries, specs
from papayaspar_model import clock, errors
from papayaspar_store import failures, following, records, stores, views

MILLISECONDS_PER_SECOND = 1000.0
# Timeout of one append, in seconds. A slow store executes a partition's appends one at a time, with
# up to 2 s of them queued; an earlier retry would lengthen that queue.
APPEND_TIMEOUT_S = 1.2
# Delay before an operation of the store is retried, in seconds.
RETRY_DELAY_S = 0.05
# Time before the caller's deadline at which a call must be answered, in seconds.
ANSWER_MARGIN_S = 0.1
# Time after which an append of this entry is certainly not carried out any more, in seconds: the
# store may execute a call some seconds after it was sent.
APPENDED_KEPT_S = 60.0
# Maximum age of the view for counting queued jobs, in seconds; an older view is updated first.
VIEW_AGE_MAX_S = 2.0


class JobTimeoutError(errors.DeadlineError):
    """The store did not confirm in time; it is unknown whether the record is stored."""

    code = "store_timeout"
    title = "The store did not confirm in time"


class UnreadableJobError(errors.UnavailableError):
    """The job's record can't be read; an entry of another version may be able to."""

    code = "unreadable_job"
    title = "The job's record can't be read"


class JobService:
    """Accepts and cancels jobs and returns their status.

    :param node: name of this entry.
    :param store: client of the store.
    :param view: view of the shared partition.
    :param follower: follower of the shared partition.
    :param clock_source: clock for deadlines and times of acceptance.
    :param events: journal for accepted and cancelled jobs.
    :param admission_policy: decides which jobs are refused; by the room of the pools if ``None``.
    """

    def __init__(
        self,
        node: str,
        store: stores.Store,
        view: views.SharedView,
        follower: following.Follower,
        clock_source: clock.Clock,
        events: journal.Journal,
        admission_policy: admission.Admission | None = None,
    ) -> None:
        self._node = node
        self._store = store
        self._view = view
        self._follower = follower
        self._clock = clock_source
        self._events = events
        self._admission = admission_policy or admission.RoomAdmission(view, clock_source)
        # When this entry began to append each job, oldest first, for `APPENDED_KEPT_S`.
        self._appended_s: dict[str, float] = {}

    async def submit(
        self, spec: specs.JobSpec, authorization: access.Authorization, timeout_s: float
    ) -> None:
        """Accept a job; the job is stored when this method returns.

        :param spec: specification of the job.
        :param authorization: queue and team of the call.
        :param timeout_s: timeout of the caller, in seconds.
        :raises InvalidJobError: when the job is not valid.
        :raises NoWorkerError: when no worker can ever run the job; it is not stored.
        :raises NoRoomError: when the job can earn nothing any more; it is not stored.
        :raises StoreUnavailableError: when the job is certainly not stored and will never run.
        :raises JobTimeoutError: when it is unknown whether the job is stored.
        """
        start_s = self._clock.now_s()
        specs.validate(spec)
        if self._view.jobs.find(spec.job_id) is not None:
            return
        accepted_ms = int(self._clock.wall_s() * MILLISECONDS_PER_SECOND)
        record = records.JobRecord(spec, authorization.queue, accepted_ms, self._node)
        encoded = records.encode(records.JOB_PREFIX + spec.job_id, record)
        await self._wait_for_store(timeout_s * access.STORE_WAIT_RATIO)
        deadline_s = start_s + timeout_s - ANSWER_MARGIN_S
        if self._view.jobs.find(spec.job_id) is not None:
            return
        if not self._may_be_stored(spec):
            self._admission.check(spec, authorization)
        self._note_append(spec.job_id)
        await self._store_record(
            encoded, spec.job_id, deadline_s, lambda: self._view.jobs.find(spec.job_id) is not None
        )
        self._view.jobs.accept(spec, authorization.queue, accepted_ms)
        self._follower.changes.notify()
        self._events.record(
            lines.EventKind.JOB_ACCEPTED,
            job=spec.job_id,
            team=spec.team,
            duration_ms=(self._clock.now_s() - start_s) * MILLISECONDS_PER_SECOND,
            detail=f"queue={spec.queue} steps={len(spec.steps)}"
            f" tasks={sum(step.task_count for step in spec.steps)} shape={spec.summary}",
        )

    def _may_be_stored(self, spec: specs.JobSpec) -> bool:
        """Return whether a record of a job, which this entry has not read, may be stored.

        An append may be carried out seconds after it was sent, also if it was answered by an error.
        """
        if self._view.has_unreadable_job(spec.job_id) or spec.job_id in self._appended_s:
            return True
        return self._view.jobs.is_cancelled(spec.job_id, spec.team)

    def _note_append(self, job_id: str) -> None:
        now_s = self._clock.now_s()
        for former_id, appended_s in list(self._appended_s.items()):
            if now_s - appended_s < APPENDED_KEPT_S:
                break
            del self._appended_s[former_id]
        self._appended_s.pop(job_id, None)
        self._appended_s[job_id] = now_s

    async def _wait_for_store(self, wait_s: float) -> None:
        """Wait until the store answers a read, before anything is appended.

        After an unanswered append, it is unknown whether the job will run, so the caller can't
        safely submit it to another entry. A read before the append detects most broken connections.

        :param wait_s: maximum time to wait while the store is unavailable, in seconds.
        :raises StoreUnavailableError: when the store does not answer; nothing was appended.
        """
        deadline_s = self._clock.now_s() + wait_s
        detail = "the store has not been read yet"
        if self._follower.is_unavailable:
            self._admission.note_store_trouble()
        while self._follower.unavailable_for_s() < access.OUTAGE_MAX_S:
            remaining_s = deadline_s - self._clock.now_s()
            if remaining_s <= 0:
                break
            with anyio.move_on_after(remaining_s):
                await self._follower.wait_connected()
                try:
                    await self._follower.catch_up()
                except errors.LogUnavailableError as error:
                    self._admission.note_store_trouble()
                    detail = error.detail
                    await anyio.sleep(RETRY_DELAY_S)
                    continue
                return
        raise failures.StoreUnavailableError(
            f"unavailable for {self._follower.unavailable_for_s():.1f} s: {detail}",
            retry_after_s=access.RETRY_AFTER_S,
        )

    async def cancel(self, job_id: str, team: str, timeout_s: float) -> None:
        """Cancel a job; a job in a final phase does not change.

        :param job_id: id of the job.
        :param team: team of the caller.
        :param timeout_s: timeout of the caller, in seconds.
        :raises NotFoundError: when the team has no such job. The cancellation of an unknown job is
            stored nevertheless; that of another team's job is not.
        :raises StoreUnavailableError: when the cancellation is certainly not stored, or when it is
            stored but the view has no such job and can't be updated now.
        :raises JobTimeoutError: when it is unknown whether the cancellation is stored.
        """
        deadline_s = self._clock.now_s() + timeout_s - ANSWER_MARGIN_S
        job = self._find_job(job_id, team)
        if job is not None and job.phase.is_final:
            return
        is_foreign = job is None and self._view.jobs.find(job_id) is not None
        if is_foreign or not specs.JOB_ID_PATTERN.match(job_id):
            raise errors.NotFoundError("no such job")
        # A job without a record is cancelled as well, since its record may not have arrived yet.
        record = records.encode(
            records.CANCEL_PREFIX + job_id, records.CancelRecord(self._node, team)
        )
        await self._store_record(
            record, job_id, deadline_s, lambda: self._view.jobs.is_cancelled(job_id, team)
        )
        self._view.jobs.cancel(job_id, team)
        self._follower.changes.notify()
        self._events.record(
            lines.EventKind.JOB_CANCELLED, job=job_id, detail=f"known={job is not None}"
        )
        if job is None:
            await self._follower.catch_up()
            if self._find_job(job_id, team) is None:
                raise errors.NotFoundError("no such job")

    async def phase(self, job_id: str, team: str) -> registries.JobPhase:
        """Return the phase of a job.

        :raises NotFoundError: when the team has no such job.
        :raises StoreUnavailableError: when the view has no such job and can't be updated now.
        :raises UnreadableJobError: when the job's record can't be read.
        """
        job = self._find_job(job_id, team)
        if job is None:
            await self._follower.catch_up()
            job = self._find_job(job_id, team)
        if job is None and self._view.has_unreadable_job(job_id):
            raise UnreadableJobError(f"the record of job {job_id} can't be read")
        if job is None:
            raise errors.NotFoundError("no such job")
        return job.phase

    async def queued_count(self, queue: str) -> int:
        """Return the number of jobs of a queue that have not started.

        :raises StoreUnavailableError: when the view is outdated and can't be updated now.
        """
        if self._follower.age_s() > VIEW_AGE_MAX_S:
            await self._follower.catch_up()
        return self._view.jobs.queued_count(queue)

    def _find_job(self, job_id: str, team: str) -> registries.AcceptedJob | None:
        job = self._view.jobs.find(job_id)
        if job is None or job.spec.team != team:
            return None
        return job

    async def _store_record(
        self,
        record: stores.KeyedRecord,
        job_id: str,
        deadline_s: float,
        is_read_back: Callable[[], bool],
    ) -> None:
        """Store an immutable record, with retries; appending it twice has no effect.

        :param record: record to store.
        :param job_id: id of the record's job.
        :param deadline_s: deadline for the confirmation, in seconds on this entry's clock.
        :param is_read_back: returns whether the follower has read the record, which also confirms
            that it is stored.
        :raises JobTimeoutError: when it is unknown at the deadline whether the record is stored.
        :raises LogUnavailableError: when the record is certainly not stored.
        :raises AppendRefusedError: when the store does not accept it, and it is not stored.
        """
        may_be_stored = False
        while not is_read_back():
            remaining_s = deadline_s - self._clock.now_s()
            if remaining_s <= 0:
                raise JobTimeoutError("the store did not answer in time", ran=errors.Ran.UNKNOWN)
            try:
                await self._append_or_read_back(
                    record, min(APPEND_TIMEOUT_S, remaining_s), is_read_back
                )
            except (errors.LogUnavailableError, failures.AppendRefusedError) as error:
                self._admission.note_store_trouble()
                # A refusal says nothing about an earlier attempt that got no answer.
                may_be_stored = may_be_stored or error.ran is not errors.Ran.NO
                if not may_be_stored:
                    if isinstance(error, errors.LogUnavailableError):
                        error.retry_after_s = access.RETRY_AFTER_S
                    raise
                self._events.record(
                    lines.EventKind.REQUEST_RETRIED,
                    job=job_id,
                    code=error.code,
                    detail=f"left_s={remaining_s:.2f}",
                )
                await anyio.sleep(RETRY_DELAY_S)
                continue
            return

    async def _append_or_read_back(
        self, record: stores.KeyedRecord, timeout_s: float, is_read_back: Callable[[], bool]
    ) -> None:
        """Append a record; return when the store confirms it or the follower has read it."""
        failure: errors.PapayasparError | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_when_read_back, is_read_back, group.cancel_scope)
            try:
                await self._store.append(records.SHARED_PARTITION, (record,), timeout_s=timeout_s)
            except (errors.LogUnavailableError, failures.AppendRefusedError) as error:
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _cancel_when_read_back(
        self, is_read_back: Callable[[], bool], scope: anyio.CancelScope
    ) -> None:
        seen_sequence = self._follower.changes.sequence
        while not is_read_back():
            seen_sequence = await self._follower.changes.wait_for_change(seen_sequence)
        scope.cancel()
