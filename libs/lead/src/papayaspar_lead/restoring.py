"""Restoring the state of tasks from the records that former leads stored."""

import anyio.lowlevel

from papayaspar_events import lines
from papayaspar_jobs import tasks
from papayaspar_lead import recording, state
from papayaspar_model import errors
from papayaspar_store import records, stores

# Number of records that are restored before other coroutines run, such as the renewal of the
# leadership.
RESTORED_AT_ONCE = 100


async def restore_tasks(
    scheduler_state: state.SchedulerState, recorder: recording.Recorder, snapshot: stores.Snapshot
) -> None:
    """Restore the tasks of the unfinished jobs.

    :param scheduler_state: state of the scheduler, whose view of the jobs is up to date.
    :param recorder: is told which tasks have a record.
    :param snapshot: the newest record of each task.
    """
    scheduler_state.work.sync(scheduler_state.view.jobs, scheduler_state.clock.now_s())
    for number, record in enumerate(snapshot.records, 1):
        if number % RESTORED_AT_ONCE == 0:
            await anyio.lowlevel.checkpoint()
        if not record.value:
            continue
        if record.key.startswith(records.ESTIMATES_PREFIX):
            _restore_estimates(scheduler_state, recorder, record)
            continue
        if not record.key.startswith(records.TASK_PREFIX):
            continue
        try:
            key = tasks.TaskKey.parse(record.key.removeprefix(records.TASK_PREFIX))
        except errors.PapayasparError as error:
            _record_refused(scheduler_state, record, error)
            continue
        if scheduler_state.view.jobs.find(key.job_id) is None:
            continue
        recorder.note_stored(key)
        try:
            stored = records.decode(record, tasks.TaskRecord)
        except errors.PapayasparError as error:
            _record_refused(scheduler_state, record, error)
            scheduler_state.work.restore_unreadable(key)
            continue
        scheduler_state.work.restore(key, stored, scheduler_state.clock.now_s())


def _restore_estimates(
    scheduler_state: state.SchedulerState, recorder: recording.Recorder, record: stores.KeyedRecord
) -> None:
    """Restore what former leads learned; without it, it is learned again."""
    try:
        recorder.estimates.restore(record)
    except errors.PapayasparError as error:
        _record_refused(scheduler_state, record, error)


def _record_refused(
    scheduler_state: state.SchedulerState, record: stores.KeyedRecord, error: errors.PapayasparError
) -> None:
    """Record that a record is of another writer, or damaged."""
    scheduler_state.events.record(
        lines.EventKind.RECORD_REFUSED, code=error.code, detail=f"key={record.key}"
    )
