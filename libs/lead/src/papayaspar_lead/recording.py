"""Storage of task records and job phases, and acknowledgement of results once they are stored."""

import anyio

from papayaspar_events import lines
from papayaspar_jobs import registries, tasks
from papayaspar_lead import estimate_records, links, state, workload
from papayaspar_model import errors
from papayaspar_store import records, stores, writing

MILLISECONDS_PER_SECOND = 1000.0
# Interval at which a refused record of a result is sent again, in seconds.
REFUSED_RETRY_INTERVAL_S = 1.0


class Recorder:
    """Store the records of changed tasks and the phases of their jobs.

    :param scheduler_state: state of the scheduler.
    :param shared: writer to the shared partition.
    :param tasks_writer: writer to the tasks' partition.
    """

    def __init__(
        self,
        scheduler_state: state.SchedulerState,
        shared: writing.EpochWriter,
        tasks_writer: writing.EpochWriter,
    ) -> None:
        self._state = scheduler_state
        self._shared = shared
        self._tasks_writer = tasks_writer
        self.estimates = estimate_records.EstimateRecords(scheduler_state.work.learner.times)
        # Set once the newest records of estimates are stored.
        self._estimates_stored: anyio.Event | None = None
        self._published_phases: dict[str, registries.JobPhase] = {}
        # VMs with results of which the store refuses a record.
        self._refused_nodes: set[str] = set()
        # Tasks that have a record, by job.
        self._stored_tasks: dict[str, set[tasks.TaskKey]] = {}

    async def wait_written(self) -> None:
        """Wait until all records queued for the tasks' partition are stored."""
        await self._tasks_writer.write()

    def is_refused(self, key: tasks.TaskKey) -> bool:
        """Return whether the store refused the newest record of a task."""
        return self._tasks_writer.is_refused(f"{records.TASK_PREFIX}{key}")

    def note_stored(self, key: tasks.TaskKey) -> None:
        """Note that a task has a record, which is deleted with its job."""
        self._stored_tasks.setdefault(key.job_id, set()).add(key)

    def flush(self) -> None:
        """Queue the records of changed tasks, and publish the phases of their jobs."""
        self._queue_estimates()
        changed = self._state.work.pop_changed()
        if not changed:
            return
        self._tasks_writer.enqueue(
            *(records.encode(f"{records.TASK_PREFIX}{task.key}", task.record) for task in changed)
        )
        for task in changed:
            self.note_stored(task.key)
        for job_id in {task.key.job_id for task in changed}:
            self.publish_phase(job_id)

    def _queue_estimates(self) -> None:
        """Queue what was learned, unless the store is behind with earlier records of it."""
        if self._estimates_stored is not None and not self._estimates_stored.is_set():
            return
        changed = self.estimates.changed(self._state.clock.now_s())
        if changed:
            self._estimates_stored = self._tasks_writer.enqueue(*changed)

    async def acknowledge(
        self, link: links.AgentLink, incarnation: tasks.Incarnation, number: int
    ) -> None:
        """Acknowledge results up to a number once all changes that they caused are stored.

        While the store refuses one of them, the worker keeps the results for the next lead. It
        reports those that follow again once these are acknowledged.
        """
        if link.node in self._refused_nodes:
            return
        await self._tasks_writer.write()
        self._refused_nodes.add(link.node)
        try:
            while self._queue_refused_results(link, number):
                await anyio.sleep(REFUSED_RETRY_INTERVAL_S)
                await self._tasks_writer.write()
        finally:
            self._refused_nodes.discard(link.node)
        try:
            await link.acknowledge(incarnation, number)
        except errors.PeerError as error:
            # The agent reports the results again at its next attachment.
            self._state.events.record(lines.EventKind.PEER_LOST, worker=link.node, code=error.code)
            return
        link.acknowledged[incarnation] = max(number, link.acknowledged.get(incarnation, 0))

    def _queue_refused_results(self, link: links.AgentLink, number: int) -> bool:
        """Queue the refused records of results up to a number; return whether there are any."""
        is_any_refused = False
        for end in link.state.ends if link.state is not None else ():
            task = self._state.work.find_task(end.task)
            if task is None or end.number > number or not self.is_refused(end.task):
                continue
            is_any_refused = True
            self._tasks_writer.enqueue(
                records.encode(f"{records.TASK_PREFIX}{task.key}", task.record)
            )
        return is_any_refused

    def publish_phase(self, job_id: str) -> None:
        """Store a job's phase if it changed, after its tasks are stored."""
        active = self._state.work.job(job_id)
        if active is None:
            return
        phase = self.phase_of(active)
        if phase is self._published_phases.get(job_id, registries.JobPhase.QUEUED):
            return
        self._published_phases[job_id] = phase
        self._state.events.record(
            lines.EventKind.JOB_SHOWN,
            job=job_id,
            code=phase.value,
            duration_ms=(self._state.clock.now_s() - active.first_seen_s) * MILLISECONDS_PER_SECOND,
        )
        self._state.spawner.start(self._store_phase, job_id, phase)

    async def _store_phase(self, job_id: str, phase: registries.JobPhase) -> None:
        await self._tasks_writer.write()
        record = records.encode(records.STATE_PREFIX + job_id, records.StateRecord(phase))
        await self._shared.write(record)

    def phase_of(self, active: workload.ActiveJob) -> registries.JobPhase:
        """Return a job's phase."""
        if active.progress.is_done:
            return registries.JobPhase.SUCCEEDED
        if active.progress.has_failed:
            return registries.JobPhase.FAILED
        if active.is_cancelled:
            return registries.JobPhase.CANCELLED
        if active.progress.has_started:
            return registries.JobPhase.RUNNING
        return registries.JobPhase.QUEUED

    def delete_agent(self, node: str) -> None:
        """Delete the record of an agent that the lead forgets."""
        self._shared.enqueue(stores.KeyedRecord(records.AGENT_PREFIX + node, b""))

    def delete_job(self, accepted_job: registries.AcceptedJob) -> None:
        """Delete all records of a job whose retention time has passed.

        The job's own record is deleted last: a new lead finds the rest of a deletion by it.
        """
        job_id = accepted_job.spec.job_id
        self._state.view.jobs.forget(job_id)
        self._state.work.forget(job_id)
        self._published_phases.pop(job_id, None)
        stored_tasks = sorted(self._stored_tasks.pop(job_id, ()))
        self._state.spawner.start(self._delete_records, job_id, stored_tasks)

    async def _delete_records(self, job_id: str, stored_tasks: list[tasks.TaskKey]) -> None:
        await self._tasks_writer.write(
            *(stores.KeyedRecord(f"{records.TASK_PREFIX}{key}", b"") for key in stored_tasks)
        )
        await self._shared.write(
            stores.KeyedRecord(records.STATE_PREFIX + job_id, b""),
            stores.KeyedRecord(records.CANCEL_PREFIX + job_id, b""),
            stores.KeyedRecord(records.JOB_PREFIX + job_id, b""),
        )
