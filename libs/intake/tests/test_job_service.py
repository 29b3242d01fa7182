"""Guarantees of the job service, also during failures of the store.

Accepted jobs are stored, rejected jobs never run, and cancelled jobs stay cancelled.
"""

import anyio
import attrs
import pytest

from papayaspar_intake import access, job_service
from papayaspar_jobs import configurations, registries
from papayaspar_model import errors
from papayaspar_standin import keyed_stores
from papayaspar_store import failures, records, stores

pytestmark = pytest.mark.anyio


async def test_accepted_job_is_stored(service, spec):
    await service.jobs.submit(spec, service.authorization, 3.0)
    assert service.is_stored(records.JOB_PREFIX + spec.job_id)
    assert await service.jobs.phase(spec.job_id, "team") is registries.JobPhase.QUEUED


async def test_resubmitted_job_is_not_stored_again(service, spec):
    await service.jobs.submit(spec, service.authorization, 3.0)
    appends = service.store.append_count
    await service.jobs.submit(spec, service.authorization, 3.0)
    assert service.store.append_count == appends


async def test_job_submitted_several_times_at_once_counts_once(service, spec):
    """Callers send a request again while the entry still works on the first one."""
    async with anyio.create_task_group() as group:
        for _ in range(3):
            group.start_soon(service.jobs.submit, spec, service.authorization, 3.0)
    await service.follower.catch_up()
    assert await service.jobs.queued_count("checks") == 1
    assert len(service.view.jobs) == 1


@pytest.mark.parametrize("fault", ["BUSY", "SILENT", "LOST", "LATE"])
async def test_rejected_job_is_never_stored(service, spec, fault):
    """Guard against status 504 from an entry that can't reach the store.

    Callers can't retry after a 504. Seen on the simulated day booth-cloud scale-2, from a
    partitioned entry.
    """
    service.store.fault = keyed_stores.StoreFault[fault]
    with pytest.raises(failures.StoreUnavailableError) as caught:
        await service.jobs.submit(spec, service.authorization, 3.0)
    assert caught.value.ran is errors.Ran.NO
    service.store.heal()
    assert not service.is_stored(records.JOB_PREFIX + spec.job_id)


async def test_call_waits_until_a_short_outage_ends(service, spec):
    """Guard against the loss of a job whose attempts all fall into one outage.

    Seen on the simulated day kowhai-spar trouble-3, where the store was unavailable to all entries
    for 5 s: a job was rejected immediately on all four attempts within 2.6 s, and the caller did
    not submit it again.
    """
    service.store.fault = keyed_stores.StoreFault.BUSY
    async with anyio.create_task_group() as group:
        group.start_soon(service.jobs.submit, spec, service.authorization, 3.0)
        await anyio.sleep(0.6)
        service.store.heal()
    assert service.is_stored(records.JOB_PREFIX + spec.job_id)


async def test_rejection_leaves_most_of_the_callers_timeout(service, spec):
    service.store.fault = keyed_stores.StoreFault.SILENT
    with anyio.fail_after(1.5), pytest.raises(failures.StoreUnavailableError):
        await service.jobs.submit(spec, service.authorization, 3.0)


async def test_entry_rejects_immediately_during_a_long_outage(service, spec):
    service.store.fault = keyed_stores.StoreFault.BUSY
    while service.follower.unavailable_for_s() < access.OUTAGE_MAX_S:
        await anyio.sleep(0.1)
    with anyio.fail_after(0.3), pytest.raises(failures.StoreUnavailableError):
        await service.jobs.submit(spec, service.authorization, 3.0)


async def test_four_attempts_at_the_retry_delay_span_an_outage(service, spec):
    """The store is unavailable for 5 s, and callers make four attempts.

    Seen on the simulated day kowhai-spar trouble-3.
    """
    service.store.fault = keyed_stores.StoreFault.BUSY
    with pytest.raises(failures.StoreUnavailableError) as caught:
        await service.jobs.submit(spec, service.authorization, 3.0)
    assert caught.value.retry_after_s * 4 > 5.0


async def test_job_cancelled_before_its_record_stays_cancelled(service, spec):
    with pytest.raises(errors.NotFoundError):
        await service.jobs.cancel(spec.job_id, "team", 3.0)
    await service.jobs.submit(spec, service.authorization, 3.0)
    assert await service.jobs.phase(spec.job_id, "team") is registries.JobPhase.CANCELLED


async def test_job_of_another_team_is_not_found(service, spec):
    await service.jobs.submit(spec, service.authorization, 3.0)
    with pytest.raises(errors.NotFoundError):
        await service.jobs.phase(spec.job_id, "others")


# Guards against a caller who cancels the job of another team and is told that there is none.
@pytest.mark.parametrize("is_known", [True, False], ids=["after-its-record", "before-its-record"])
async def test_job_of_another_team_is_not_cancelled(service, spec, is_known):
    if is_known:
        await service.jobs.submit(spec, service.authorization, 3.0)
    with pytest.raises(errors.NotFoundError):
        await service.jobs.cancel(spec.job_id, "others", 3.0)
    await service.jobs.submit(spec, service.authorization, 3.0)
    assert await service.jobs.phase(spec.job_id, "team") is registries.JobPhase.QUEUED
    assert service.is_stored(records.CANCEL_PREFIX + spec.job_id) is not is_known
    await service.jobs.cancel(spec.job_id, "team", 3.0)
    assert await service.jobs.phase(spec.job_id, "team") is registries.JobPhase.CANCELLED


@pytest.mark.parametrize("job_id", ["", "x", "0" * 300, "0123456789abcde\n"])
async def test_cancellation_of_an_invalid_id_is_not_stored(service, job_id):
    with pytest.raises(errors.NotFoundError):
        await service.jobs.cancel(job_id, "team", 3.0)
    assert not service.is_stored(records.CANCEL_PREFIX + job_id)


async def test_unknown_job_is_not_reported_missing_while_the_store_is_unavailable(service, spec):
    service.store.fault = keyed_stores.StoreFault.BUSY
    with pytest.raises(failures.StoreUnavailableError):
        await service.jobs.phase(spec.job_id, "team")


class StubConfigurationSource(access.ConfigurationSource):
    """A source of one configuration, whose age is given and becomes zero after a wait."""

    def __init__(self, age_s: float) -> None:
        self._age_s = age_s

    def current(self) -> configurations.Configuration:
        queue = configurations.Queue("q", "host", "/q/", "pool", 3000)
        longer_prefix_queue = configurations.Queue(
            "long", "host", "/q/long/", "pool", 3000, is_public=True
        )
        team = configurations.Team("team", frozenset({"key"}))
        return configurations.Configuration(3, (queue, longer_prefix_queue), (team,))

    def age_s(self) -> float:
        return self._age_s

    async def wait_connected(self) -> None:
        await anyio.sleep(0.1)
        self._age_s = 0.0


async def test_calls_are_authorized_by_longest_prefix_and_key():
    authorizer = access.Authorizer(StubConfigurationSource(0.0), 3.0)
    assert authorizer.authorize("host", "/q/1", "key").team == "team"
    assert authorizer.authorize("host", "/q/long/1", "").queue.name == "long"
    with pytest.raises(access.UnknownKeyError):
        authorizer.authorize("host", "/q/1", "revoked")
    with pytest.raises(access.UnknownQueueError):
        authorizer.authorize("other", "/q/1", "key")


async def test_key_is_rejected_under_an_outdated_configuration():
    authorizer = access.Authorizer(StubConfigurationSource(3.1), 3.0)
    with pytest.raises(access.NoConfigurationError) as caught:
        authorizer.authorize("host", "/q/1", "key")
    assert caught.value.ran is errors.Ran.NO


async def test_call_waits_until_the_configuration_is_read_again():
    """The store is silent for 5 s, and callers make five attempts.

    This happens on the simulated day deploy/days/store-away.
    """
    authorizer = access.Authorizer(StubConfigurationSource(3.1), 3.0)
    await authorizer.wait_available(3.0)
    assert authorizer.authorize("host", "/q/1", "key").team == "team"


async def test_call_does_not_wait_for_the_configuration_during_a_long_outage():
    authorizer = access.Authorizer(StubConfigurationSource(access.OUTAGE_MAX_S + 0.1), 3.0)
    await authorizer.wait_available(3.0)
    assert not authorizer.is_available()


async def test_record_read_by_the_follower_is_confirmed_without_an_answer(service, spec):
    """The store executes every append but loses its answer."""
    service.store.fault = keyed_stores.StoreFault.LOST_APPENDS
    await service.jobs.submit(spec, service.authorization, 3.0)
    assert service.store.append_count == 1
    assert service.is_stored(records.JOB_PREFIX + spec.job_id)


async def test_unanswered_append_is_retried_until_the_deadline(service, spec):
    record = records.encode(records.CANCEL_PREFIX + spec.job_id, records.CancelRecord("entry"))
    service.store.fault = keyed_stores.StoreFault.LOST
    with pytest.raises(job_service.JobTimeoutError):
        await service.jobs.cancel(spec.job_id, "team", 0.9)
    assert service.is_stored(record.key)


async def _store_jobs_unread(service, spec, count):
    """Store jobs, of which the given one is the last, while the follower's reads hang."""
    service.store.fault = keyed_stores.StoreFault.HANGING_READS
    await anyio.sleep(0.3)
    for number in reversed(range(count)):
        job = spec if number == 0 else attrs.evolve(spec, job_id=f"{number:016x}")
        record = records.JobRecord(job, service.authorization.queue, 1000, "other-entry")
        encoded = records.encode(records.JOB_PREFIX + job.job_id, record)
        service.log.append(keyed_stores.Append(records.SHARED_PARTITION, (encoded,), None, None))
    assert service.view.jobs.find(spec.job_id) is None


# Guards against 410 for a job that another entry accepted: its record was on the second page.
async def test_accepted_job_is_found_behind_many_unread_records(service, spec):
    service.log.page_records_max = 1
    await _store_jobs_unread(service, spec, 3)
    assert await service.jobs.phase(spec.job_id, "team") is registries.JobPhase.QUEUED


# Guards against 410 for jobs that exist, since the store has deleted the history that an entry has
# not read yet.
@pytest.mark.parametrize("call", ["phase", "cancel", "submit"])
async def test_accepted_job_is_found_after_the_history_was_deleted(service, spec, call):
    await _store_jobs_unread(service, spec, 2)
    service.log.drop_history(records.SHARED_PARTITION)
    if call == "submit":
        await service.jobs.submit(spec, service.authorization, 3.0)
    if call == "cancel":
        await service.jobs.cancel(spec.job_id, "team", 3.0)
    expected = registries.JobPhase.CANCELLED if call == "cancel" else registries.JobPhase.QUEUED
    assert await service.jobs.phase(spec.job_id, "team") is expected
    assert service.view.jobs.find(f"{1:016x}") is not None


# Guards against 503, after which a job never runs, although an earlier append of its record that
# got no answer may be stored.
async def test_refusal_after_an_unanswered_append_is_no_rejection(service, spec, monkeypatch):
    attempts = 0

    async def append_then_refuse(*_args, **_options):
        nonlocal attempts
        attempts += 1
        if attempts == 1:
            raise failures.StoreUnavailableError("no response", ran=errors.Ran.UNKNOWN)
        raise failures.AppendRefusedError("refused")

    monkeypatch.setattr(service.store, "append", append_then_refuse)
    with pytest.raises(job_service.JobTimeoutError):
        await service.jobs.submit(spec, service.authorization, 0.5)
    assert attempts > 1


async def test_refused_record_is_rejected_at_once(service, spec):
    service.log.record_bytes_max = 10
    with pytest.raises(failures.AppendRefusedError) as caught:
        await service.jobs.submit(spec, service.authorization, 3.0)
    assert caught.value.ran is errors.Ran.NO
    assert service.store.append_count == 1


# Guards against 401 and 404, after which callers give up, for a key or a queue that was added while
# the entry could not read the configuration.
@pytest.mark.parametrize(("path", "key"), [("/q/1", "added"), ("/added/1", "key")])
async def test_unknown_key_or_queue_is_not_refused_by_an_unread_configuration(path, key):
    current = access.Authorizer(StubConfigurationSource(access.REFUSAL_AGE_MAX_S), 3.0)
    with pytest.raises((access.UnknownKeyError, access.UnknownQueueError)):
        current.authorize("host", path, key)
    unread = access.Authorizer(StubConfigurationSource(access.REFUSAL_AGE_MAX_S + 0.1), 3.0)
    with pytest.raises(access.NoConfigurationError) as caught:
        unread.authorize("host", path, key)
    assert caught.value.retry_after_s is not None
    assert unread.authorize("host", "/q/1", "key").team == "team"


# Guards against 410 for an accepted job whose record this version can't read.
async def test_job_with_an_unreadable_record_is_not_reported_missing(service, spec):
    key = records.JOB_PREFIX + spec.job_id
    damaged = stores.KeyedRecord(key, b"\xc1")
    service.log.append(keyed_stores.Append(records.SHARED_PARTITION, (damaged,), None, None))
    with pytest.raises(errors.UnavailableError):
        await service.jobs.phase(spec.job_id, "team")
    deletion = stores.KeyedRecord(key, b"")
    service.log.append(keyed_stores.Append(records.SHARED_PARTITION, (deletion,), None, None))
    await service.follower.catch_up()
    with pytest.raises(errors.NotFoundError):
        await service.jobs.phase(spec.job_id, "team")
