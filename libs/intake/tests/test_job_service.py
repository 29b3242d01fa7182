"""What callers are told is true: accepted is stored, refused never runs, cancelled stays so."""

import anyio
import pytest

from papayaspar_intake import access, job_service
from papayaspar_jobs import books, configurations
from papayaspar_model import errors
from papayaspar_standin import keyed_stores
from papayaspar_store import failures, records

pytestmark = pytest.mark.anyio


async def test_accepted_job_is_stored(counter, spec):
    await counter.jobs.submit(spec, counter.admission, 3.0)
    assert counter.is_stored(records.JOB + spec.job_id)
    assert await counter.jobs.phase(spec.job_id, "team") is books.JobPhase.QUEUED


async def test_repeated_job_is_one_job(counter, spec):
    await counter.jobs.submit(spec, counter.admission, 3.0)
    appends = counter.store.append_count
    await counter.jobs.submit(spec, counter.admission, 3.0)
    assert counter.store.append_count == appends


@pytest.mark.parametrize("fault", ["BUSY", "SILENT", "LOST", "LATE"])
async def test_refused_job_is_never_stored(counter, spec, fault):
    """Seen on booth-cloud scale-2: an entry cut off answered 504, which callers can't retry."""
    counter.store.fault = keyed_stores.StoreFault[fault]
    with pytest.raises(failures.StoreUnavailableError) as caught:
        await counter.jobs.submit(spec, counter.admission, 3.0)
    assert caught.value.ran is errors.Ran.NO
    counter.store.heal()
    assert not counter.is_stored(records.JOB + spec.job_id)


async def test_call_waits_out_the_end_of_an_outage(counter, spec):
    """Load: the store away to all for 5 s, callers that try four times within 2.6 s.

    Seen on kowhai-spar trouble-3: a job was refused four times at once and did not come again.
    """
    counter.store.fault = keyed_stores.StoreFault.BUSY
    async with anyio.create_task_group() as group:
        group.start_soon(counter.jobs.submit, spec, counter.admission, 3.0)
        await anyio.sleep(0.6)
        counter.store.heal()
    assert counter.is_stored(records.JOB + spec.job_id)


async def test_refusal_leaves_most_of_the_callers_time(counter, spec):
    counter.store.fault = keyed_stores.StoreFault.SILENT
    with anyio.fail_after(1.5), pytest.raises(failures.StoreUnavailableError):
        await counter.jobs.submit(spec, counter.admission, 3.0)


async def test_entry_that_lost_the_store_for_long_refuses_at_once(counter, spec):
    counter.store.fault = keyed_stores.StoreFault.BUSY
    while counter.follower.lost_for_s() < access.OUTAGE_MAX_S:
        await anyio.sleep(0.1)
    with anyio.fail_after(0.3), pytest.raises(failures.StoreUnavailableError):
        await counter.jobs.submit(spec, counter.admission, 3.0)


async def test_four_tries_outlast_an_outage_of_the_store(counter, spec):
    """Load: the store away to all for 5 s (kowhai-spar trouble-3), callers that try four times."""
    counter.store.fault = keyed_stores.StoreFault.BUSY
    with pytest.raises(failures.StoreUnavailableError) as caught:
        await counter.jobs.submit(spec, counter.admission, 3.0)
    assert caught.value.retry_after_s * 4 > 5.0


async def test_cancelled_before_its_record_stays_cancelled(counter, spec):
    with pytest.raises(errors.NotFoundError):
        await counter.jobs.cancel(spec.job_id, "team", 3.0)
    await counter.jobs.submit(spec, counter.admission, 3.0)
    assert await counter.jobs.phase(spec.job_id, "team") is books.JobPhase.CANCELLED


async def test_job_of_another_team_is_not_shown(counter, spec):
    await counter.jobs.submit(spec, counter.admission, 3.0)
    with pytest.raises(errors.NotFoundError):
        await counter.jobs.phase(spec.job_id, "others")


async def test_unknown_job_is_not_denied_without_the_store(counter, spec):
    counter.store.fault = keyed_stores.StoreFault.BUSY
    with pytest.raises(failures.StoreUnavailableError):
        await counter.jobs.phase(spec.job_id, "team")


class FixedSource(access.ConfigurationSource):
    """A configuration of a fixed age."""

    def __init__(self, age_s: float) -> None:
        self._age_s = age_s

    def current(self) -> configurations.Configuration:
        queue = configurations.Queue("q", "host", "/q/", "pool", 3000)
        longer = configurations.Queue("long", "host", "/q/long/", "pool", 3000, is_public=True)
        team = configurations.Team("team", frozenset({"key"}))
        return configurations.Configuration(3, (queue, longer), (team,))

    def age_s(self) -> float:
        return self._age_s

    async def wait_in_touch(self) -> None:
        await anyio.sleep(0.1)
        self._age_s = 0.0


async def test_longest_prefix_and_key_admit():
    gate = access.Gate(FixedSource(0.0), 3.0)
    assert gate.admit("host", "/q/1", "key").team == "team"
    assert gate.admit("host", "/q/long/1", "").queue.name == "long"
    with pytest.raises(access.UnknownKeyError):
        gate.admit("host", "/q/1", "taken away")
    with pytest.raises(access.UnknownQueueError):
        gate.admit("other", "/q/1", "key")


async def test_key_is_not_honoured_under_an_old_configuration():
    gate = access.Gate(FixedSource(3.1), 3.0)
    with pytest.raises(access.NoConfigurationError) as caught:
        gate.admit("host", "/q/1", "key")
    assert caught.value.ran is errors.Ran.NO


async def test_call_waits_for_a_configuration_that_is_read_again():
    """Load: the store silent to all for 5 s (deploy/days/store-away), callers with five tries."""
    gate = access.Gate(FixedSource(3.1), 3.0)
    await gate.wait_open(3.0)
    assert gate.admit("host", "/q/1", "key").team == "team"


async def test_call_does_not_wait_for_a_configuration_that_is_long_out_of_touch():
    gate = access.Gate(FixedSource(access.OUTAGE_MAX_S + 0.1), 3.0)
    await gate.wait_open(3.0)
    assert not gate.is_open()


async def test_record_that_is_read_back_needs_no_answer(counter, spec):
    """Load: a store that does what it is asked and loses the answer of every append."""
    counter.store.fault = keyed_stores.StoreFault.LOST_APPENDS
    await counter.jobs.submit(spec, counter.admission, 3.0)
    assert counter.store.append_count == 1
    assert counter.is_stored(records.JOB + spec.job_id)


async def test_doubtful_append_is_repeated_until_it_is_confirmed(counter, spec):
    record = records.encode(records.CANCEL + spec.job_id, records.CancelRecord("entry"))
    counter.store.fault = keyed_stores.StoreFault.LOST
    with pytest.raises(job_service.JobTimeoutError):
        await counter.jobs.cancel(spec.job_id, "team", 0.9)
    assert counter.is_stored(record.key)
