"""Submitting, showing and cancelling jobs, whatever front end callers use."""

from collections.abc import Callable

import anyio

from papayaspar_events import journal, lines
from papayaspar_intake import access
from papayaspar_jobs import books, specs
from papayaspar_model import clock, errors
from papayaspar_store import failures, following, records, stores, views

MILLISECONDS_PER_SECOND = 1000.0
# One append is given up after so long, in seconds. A slow store works off a partition's appends one
# at a time, up to 2 s of them; repeating one sooner makes the line longer.
APPEND_TIMEOUT_S = 1.2
RETRY_S = 0.05
# An answer leaves this long before the caller's deadline, in seconds.
ANSWER_MARGIN_S = 0.1
# A view older than this is read anew before a job is said to be unknown, in seconds.
VIEW_AGE_MAX_S = 2.0


class JobTimeoutError(errors.DeadlineError):
    """The store did not confirm in time; whether the record is stored is not known."""

    code = "store_timeout"
    title = "The store did not confirm in time"


class JobService:
    """Accepts, cancels and shows jobs.

    :param node: name of this entry.
    :param store: the store.
    :param view: the shared partition.
    :param follower: follows it.
    :param source: clock.
    :param events: where decisions are recorded.
    """

    def __init__(
        self,
        node: str,
        store: stores.Store,
        view: views.SharedView,
        follower: following.Follower,
        source: clock.Clock,
        events: journal.Journal,
    ) -> None:
        self._node = node
        self._store = store
        self._view = view
        self._follower = follower
        self._clock = source
        self._events = events

    async def submit(
        self, spec: specs.JobSpec, admission: access.Admission, timeout_s: float
    ) -> None:
        """Accept a job: it is stored when this returns.

        :param spec: the job.
        :param admission: queue and team of the call.
        :param timeout_s: how long the caller waits.
        :raises InvalidJobError: when the job is not valid.
        :raises StoreUnavailableError: when it is certainly not stored and never runs.
        :raises JobTimeoutError: when that is not known.
        """
        began_s = self._clock.now_s()
        specs.check(spec)
        if self._view.book.find(spec.job_id) is not None:
            return
        accepted_ms = int(self._clock.wall_s() * MILLISECONDS_PER_SECOND)
        record = records.JobRecord(spec, admission.queue, accepted_ms, self._node)
        encoded = records.encode(records.JOB + spec.job_id, record)
        await self._reach_store(timeout_s * access.STORE_WAIT_RATIO)
        deadline_s = began_s + timeout_s - ANSWER_MARGIN_S
        if self._view.book.find(spec.job_id) is not None:
            return
        await self._store_record(
            encoded, spec.job_id, deadline_s, lambda: self._view.book.find(spec.job_id) is not None
        )
        self._view.book.accept(spec, admission.queue, accepted_ms)
        self._follower.changes.changed()
        self._events.record(
            lines.EventKind.JOB_ACCEPTED,
            job=spec.job_id,
            team=spec.team,
            duration_ms=(self._clock.now_s() - began_s) * MILLISECONDS_PER_SECOND,
            detail=f"queue={spec.queue} steps={len(spec.steps)}"
            f" tasks={sum(step.task_count for step in spec.steps)} shape={spec.summary}",
        )

    async def _reach_store(self, wait_s: float) -> None:
        """Return once the store answers; refuse while nothing was sent if it does not in time.

        An append without an answer leaves it open whether the job will run, so callers can't safely
        go elsewhere with it; a read before it finds most dead paths first.

        :param wait_s: how long to wait for a store that is away.
        :raises StoreUnavailableError: the store does not answer; nothing was sent.
        """
        deadline_s = self._clock.now_s() + wait_s
        detail = "the store was not read yet"
        while self._follower.lost_for_s() < access.OUTAGE_MAX_S:
            left_s = deadline_s - self._clock.now_s()
            if left_s <= 0:
                break
            with anyio.move_on_after(left_s):
                await self._follower.wait_in_touch()
                try:
                    await self._follower.catch_up()
                except errors.LogUnavailableError as error:
                    detail = error.detail
                    await anyio.sleep(RETRY_S)
                    continue
                return
        raise failures.StoreUnavailableError(
            f"away for {self._follower.lost_for_s():.1f} s: {detail}",
            retry_after_s=access.RETRY_AFTER_S,
        )

    async def cancel(self, job_id: str, team: str, timeout_s: float) -> None:
        """Cancel a job; a job that has ended stays as it ended.

        :param job_id: the job.
        :param team: team of the caller.
        :param timeout_s: how long the caller waits.
        :raises NotFoundError: when there is no such job.
        """
        deadline_s = self._clock.now_s() + timeout_s - ANSWER_MARGIN_S
        job = self._find(job_id, team)
        if job is not None and job.phase.is_final:
            return
        # A record for an unknown job counts too: its own record may still be on its way.
        record = records.encode(records.CANCEL + job_id, records.CancelRecord(self._node))
        await self._store_record(
            record, job_id, deadline_s, lambda: self._view.book.is_cancelled(job_id)
        )
        self._view.book.cancel(job_id)
        self._follower.changes.changed()
        self._events.record(
            lines.EventKind.JOB_CANCELLED, job=job_id, detail=f"known={job is not None}"
        )
        if job is None:
            await self._follower.catch_up()
            if self._find(job_id, team) is None:
                raise errors.NotFoundError("no such job")

    async def phase(self, job_id: str, team: str) -> books.JobPhase:
        """Return how far a job is.

        :raises NotFoundError: when there is no such job.
        :raises StoreUnavailableError: when that can't be told now.
        """
        job = self._find(job_id, team)
        if job is None:
            await self._follower.catch_up()
            job = self._find(job_id, team)
        if job is None:
            raise errors.NotFoundError("no such job")
        return job.phase

    async def queued_count(self, queue: str) -> int:
        """Return how many jobs of a queue wait for their first start.

        :raises StoreUnavailableError: when that can't be told now.
        """
        if self._follower.age_s() > VIEW_AGE_MAX_S:
            await self._follower.catch_up()
        return self._view.book.queued_count(queue)

    def _find(self, job_id: str, team: str) -> books.BookedJob | None:
        job = self._view.book.find(job_id)
        if job is None or job.spec.team != team:
            return None
        return job

    async def _store_record(
        self,
        record: stores.KeyedRecord,
        job_id: str,
        deadline_s: float,
        is_seen: Callable[[], bool],
    ) -> None:
        """Store a record that never changes; a repeat after a lost answer is harmless.

        :param record: the record.
        :param job_id: its job.
        :param deadline_s: when the caller must have its answer, on this entry's clock.
        :param is_seen: whether the record was read back, which confirms it as well.
        """
        is_doubtful = False
        while not is_seen():
            left_s = deadline_s - self._clock.now_s()
            if left_s <= 0:
                raise JobTimeoutError("the store did not answer in time", ran=errors.Ran.UNKNOWN)
            try:
                await self._append_or_see(record, min(APPEND_TIMEOUT_S, left_s), is_seen)
            except errors.LogUnavailableError as error:
                is_doubtful = is_doubtful or error.ran is not errors.Ran.NO
                if not is_doubtful:
                    error.retry_after_s = access.RETRY_AFTER_S
                    raise
                self._events.record(
                    lines.EventKind.REQUEST_RETRIED,
                    job=job_id,
                    code=error.code,
                    detail=f"left_s={left_s:.2f}",
                )
                await anyio.sleep(RETRY_S)
                continue
            return

    async def _append_or_see(
        self, record: stores.KeyedRecord, timeout_s: float, is_seen: Callable[[], bool]
    ) -> None:
        """Append a record; return when the store answers or the record is read back."""
        failure: errors.LogUnavailableError | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_when_seen, is_seen, group.cancel_scope)
            try:
                await self._store.append(records.SHARED, (record,), timeout_s=timeout_s)
            except errors.LogUnavailableError as error:
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _cancel_when_seen(
        self, is_seen: Callable[[], bool], scope: anyio.CancelScope
    ) -> None:
        seen = self._follower.changes.sequence
        while not is_seen():
            seen = await self._follower.changes.wait_beyond(seen)
        scope.cancel()
