"""What the lead stores: tasks, phases of jobs, and then acknowledgements of ends."""

from papayaspar_events import lines
from papayaspar_jobs import books, tasks
from papayaspar_lead import links, state, workload
from papayaspar_model import errors
from papayaspar_store import records, stores, writing

MILLISECONDS_PER_SECOND = 1000.0


class Recorder:
    """Stores what changed.

    :param duty: state of the duty.
    :param shared: writer to the shared partition.
    :param tasks_writer: writer to the tasks' partition.
    """

    def __init__(
        self,
        duty: state.DutyState,
        shared: writing.EpochWriter,
        tasks_writer: writing.EpochWriter,
    ) -> None:
        self._state = duty
        self._shared = shared
        self._tasks_writer = tasks_writer
        self._shown: dict[str, books.JobPhase] = {}

    async def written(self) -> None:
        """Return once all that was queued for the tasks' partition is stored."""
        await self._tasks_writer.write()

    def flush(self) -> None:
        """Queue the records of tasks that changed, and show the jobs that they change."""
        changed = self._state.work.take_changed()
        if not changed:
            return
        self._tasks_writer.post(
            *(records.encode(f"{records.TASK}{task.key}", task.record) for task in changed)
        )
        for job_id in {task.key.job_id for task in changed}:
            self.show(job_id)

    async def acknowledge(
        self, link: links.AgentLink, incarnation: tasks.Incarnation, number: int
    ) -> None:
        """Acknowledge ends once all that they changed is stored."""
        await self._tasks_writer.write()
        try:
            await link.acknowledge(incarnation, number)
        except errors.PeerError as error:
            # The agent lists the ends again when it is attached again.
            self._state.events.record(lines.EventKind.PEER_LOST, worker=link.node, code=error.code)
            return
        link.acknowledged[incarnation] = max(number, link.acknowledged.get(incarnation, 0))

    def show(self, job_id: str) -> None:
        """Record a job's phase when it changed, after its tasks are stored."""
        live = self._state.work.job(job_id)
        if live is None:
            return
        phase = self.phase_of(live)
        if phase is self._shown.get(job_id, books.JobPhase.QUEUED):
            return
        self._shown[job_id] = phase
        self._state.events.record(
            lines.EventKind.JOB_SHOWN,
            job=job_id,
            code=phase.value,
            duration_ms=(self._state.clock.now_s() - live.first_ready_s) * MILLISECONDS_PER_SECOND,
        )
        self._state.spawner.start(self._record_phase, job_id, phase)

    async def _record_phase(self, job_id: str, phase: books.JobPhase) -> None:
        await self._tasks_writer.write()
        record = records.encode(records.STATE + job_id, records.StateRecord(phase))
        await self._shared.write(record)

    def phase_of(self, live: workload.LiveJob) -> books.JobPhase:
        """Return how far a job is."""
        if live.progress.is_done:
            return books.JobPhase.SUCCEEDED
        if live.progress.has_failed:
            return books.JobPhase.FAILED
        if live.is_cancelled:
            return books.JobPhase.CANCELLED
        if live.progress.has_started:
            return books.JobPhase.RUNNING
        return books.JobPhase.QUEUED

    def drop_agent(self, node: str) -> None:
        """Drop the record of an agent that is gone."""
        self._shared.post(stores.KeyedRecord(records.AGENT + node, b""))

    def drop(self, booked: books.BookedJob) -> None:
        """Drop all records of a job that has been shown long enough."""
        job_id = booked.spec.job_id
        self._state.view.book.forget(job_id)
        self._state.work.forget(job_id)
        self._shown.pop(job_id, None)
        self._shared.post(
            stores.KeyedRecord(records.JOB + job_id, b""),
            stores.KeyedRecord(records.STATE + job_id, b""),
            stores.KeyedRecord(records.CANCEL + job_id, b""),
        )
        keys = []
        for occurrence in range(booked.spec.occurrences):
            for number, step in enumerate(booked.spec.steps):
                for index in range(step.task_count):
                    key = tasks.TaskKey(job_id, occurrence, number, index)
                    keys.append(stores.KeyedRecord(f"{records.TASK}{key}", b""))
        self._tasks_writer.post(*keys)
