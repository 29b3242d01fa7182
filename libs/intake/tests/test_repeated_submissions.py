"""A job that callers submit several times counts once, beside killed entries and lost answers."""

import functools

import anyio
import pytest

from papayaspar_intake import job_service
from papayaspar_jobs import registries
from papayaspar_model import errors
from papayaspar_standin import keyed_stores
from papayaspar_store import records

pytestmark = pytest.mark.anyio

TIMEOUT_S = 3.0
SHORT_TIMEOUT_S = 0.5
SUBMISSIONS = 3


async def submit(service, spec, timeout_s=TIMEOUT_S):
    """Submit the job; the caller learns whether it is accepted, or that this is unknown."""
    try:
        await service.jobs.submit(spec, service.authorization, timeout_s)
    except job_service.JobTimeoutError:
        return False
    return True


async def submit_at_once(spec, *services):
    """Submit the job several times at once to each entry; all must accept it."""
    async with anyio.create_task_group() as group:
        for service in services * SUBMISSIONS:
            group.start_soon(
                functools.partial(service.jobs.submit, spec, service.authorization, TIMEOUT_S)
            )


async def submit_and_kill(spec, *services):
    """Submit the job to entries that are killed once it is stored, before they can answer."""
    log = services[0].log
    seen_sequence = log.changes.sequence
    async with anyio.create_task_group() as group:
        for service in services:
            # An entry reads before it appends, so only the answers to appends are lost.
            service.store.fault = keyed_stores.StoreFault.LOST_APPENDS
            group.start_soon(submit, service, spec)
        while not services[0].is_stored(records.JOB_PREFIX + spec.job_id):
            seen_sequence = await log.changes.wait_for_change(seen_sequence)
        group.cancel_scope.cancel()
    for service in services:
        service.scope.cancel()


def store_phase(log, spec, phase):
    """Let the lead store a phase of the job."""
    key = records.STATE_PREFIX + spec.job_id
    record = records.encode(key, records.StateRecord(phase))
    log.append(keyed_stores.Append(records.SHARED_PARTITION, (record,), None, None))


async def check_counted_once(spec, services, phase=registries.JobPhase.QUEUED):
    """Check that each entry counts the job once, in one phase."""
    for service in services:
        await service.follower.catch_up()
        assert len(service.view.jobs) == 1
        is_queued = phase is registries.JobPhase.QUEUED
        assert await service.jobs.queued_count("checks") == int(is_queued)
        assert await service.jobs.phase(spec.job_id, "team") is phase


# Guards against a job that counts for each submission: the answers of the store to the first entry
# are lost, and the caller submits the job several times at once to this entry and another one.
@pytest.mark.parametrize("lost", [1, 2])
@pytest.mark.parametrize("is_trimmed", [False, True])
async def test_job_submitted_to_two_entries_counts_once(make_service, spec, lost, is_trimmed):
    first = await make_service("entry-1")
    second = await make_service("entry-2", first.log)
    first.store.responses_to_lose[records.SHARED_PARTITION] = lost
    assert await submit(first, spec)
    await submit_at_once(spec, first, second)
    if is_trimmed:
        first.log.drop_history(records.SHARED_PARTITION)
    restarted = await make_service("entry-1", first.log)
    await submit_at_once(spec, restarted, second)
    await check_counted_once(spec, (first, second, restarted))


# Guards against a job that counts for each entry: entries are killed once the job is stored, before
# they answer, and the caller submits it to another entry and to the restarted ones.
@pytest.mark.parametrize("kills", [2, 3])
async def test_job_counts_once_beside_killed_entries(make_service, spec, kills):
    left = await make_service("entry-0")
    names = [f"entry-{number + 1}" for number in range(kills)]
    await submit_and_kill(spec, *[await make_service(name, left.log) for name in names])
    restarted = [await make_service(name, left.log) for name in names]
    await submit_at_once(spec, left, *restarted)
    await check_counted_once(spec, (left, *restarted))


# Guards against a job that is queued again: it has started or ended when an entry that has not read
# this stores it again, or when the first submission, whose answer was lost, is stored late.
@pytest.mark.parametrize(
    "phase",
    [registries.JobPhase.RUNNING, registries.JobPhase.SUCCEEDED, registries.JobPhase.FAILED],
)
@pytest.mark.parametrize("is_trimmed", [False, True])
async def test_job_stored_again_after_its_start_is_not_queued_again(
    make_service, spec, monkeypatch, phase, is_trimmed
):
    late = await make_service("entry-1")
    second = await make_service("entry-2", late.log)
    append = late.store.append

    async def append_late(*arguments, **fields):
        late.store.fault = keyed_stores.StoreFault.LATE
        return await append(*arguments, **fields)

    monkeypatch.setattr(late.store, "append", append_late)
    assert not await submit(late, spec, SHORT_TIMEOUT_S)
    assert not late.is_stored(records.JOB_PREFIX + spec.job_id)
    assert await submit(second, spec)
    store_phase(late.log, spec, phase)
    late.store.heal()
    monkeypatch.undo()
    if is_trimmed:
        late.log.drop_history(records.SHARED_PARTITION)
    restarted = await make_service("entry-2", late.log)
    await late.follower.wait_connected()
    await submit_at_once(spec, late, second, restarted)
    await check_counted_once(spec, (late, second, restarted), phase)


# Guards against a cancelled job that counts again: the answer to its cancellation is lost with the
# killed entry, and the caller's earlier submission arrives at another entry afterwards.
async def test_cancelled_job_does_not_count_after_repeated_submissions(make_service, spec):
    first = await make_service("entry-1")
    second = await make_service("entry-2", first.log)
    first.store.responses_to_lose[records.SHARED_PARTITION] = 1
    with pytest.raises(errors.NotFoundError):
        await first.jobs.cancel(spec.job_id, "team", TIMEOUT_S)
    first.scope.cancel()
    restarted = await make_service("entry-1", first.log)
    await submit_at_once(spec, second, restarted)
    await check_counted_once(spec, (second, restarted), registries.JobPhase.CANCELLED)
