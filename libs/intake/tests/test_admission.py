"""Refusals at once by the room that the lead has published, and when nothing may be refused."""

import attrs
import pytest

from papayaspar_intake import access, admission, job_service
from papayaspar_jobs import configurations, rooms, specs
from papayaspar_model import clock, errors
from papayaspar_standin import keyed_stores
from papayaspar_store import failures, records, stores, views

EPOCH = 2048
KIND = rooms.WorkerKind(specs.Resources(64_000, 262_144, 8), ("a",), 4)
WAITS = tuple(rooms.ExpectedWait(wait_s, wait_s, wait_s) for wait_s in (0, 40, 50, 60))
ROOM = rooms.PoolRoom("pool", True, (KIND,), (), True, WAITS)
QUEUE = configurations.Queue(
    "queue", "host", "/queue/", "pool", 3000, priority=2, stretch=1.0, objective_ms=1000
)
TOO_LARGE = specs.Step(1, specs.Resources(1000, 100, 9), 2000)
FITTING = specs.Step(1, specs.Resources(1000, 100, 1), 2000)


def _job(step, number=1, **changes):
    return attrs.evolve(specs.JobSpec(f"{number:016x}", "queue", "team", "", (step,)), **changes)


def _authorization(guaranteed_accelerators=0, **changes):
    return access.Authorization(attrs.evolve(QUEUE, **changes), "team", guaranteed_accelerators)


@attrs.define
class Entry:
    """An entry's view and admission, and what leads and others store."""

    clock_source: clock.ManualClock
    view: views.SharedView
    policy: admission.RoomAdmission

    def store(self, key, record):
        self.view.apply(records.encode(key, record))

    def renew_lead(self, epoch=EPOCH, count=2, **changes):
        """Let a lead renew its record, each time after its interval."""
        for _ in range(count):
            self.clock_source.advance(0.4)
            self.store(records.LEAD_KEY, records.LeadRecord(epoch, "entry", "boot", **changes))

    def publish(self, room=ROOM, epoch=EPOCH):
        self.store(records.ROOM_KEY, records.RoomRecord(epoch, (room,)))

    def refusal(self, step=TOO_LARGE, **changes):
        """Return the error with which a job is refused, or ``None``."""
        try:
            self.policy.check(_job(step), _authorization(**changes))
        except errors.PapayasparError as error:
            return error
        return None


@pytest.fixture
def entry() -> Entry:
    """Return an entry that follows a lead, which has published the room of a pool."""
    clock_source = clock.ManualClock(100.0)
    view = views.SharedView(clock_source)
    entry = Entry(clock_source, view, admission.RoomAdmission(view, clock_source))
    entry.renew_lead()
    entry.publish()
    return entry


def test_job_that_no_worker_can_run_is_refused_with_the_reason(entry):
    error = entry.refusal()
    assert isinstance(error, admission.NoWorkerError)
    assert (error.status, error.ran, error.field) == (503, errors.Ran.NO, "steps.0.room")
    assert error.retry_after_s is None
    assert "1x1000m/100MB/9a" in error.detail
    assert "summary_age_s=0.0" in error.detail


def test_job_that_would_be_worthless_is_refused_with_a_time_to_return(entry):
    """Useful for 3 x (2 x 2 s + 1 s) - 2 s, and room for it in 60 s."""
    error = entry.refusal(FITTING)
    assert isinstance(error, admission.NoRoomError)
    assert (error.status, error.ran) == (429, errors.Ran.NO)
    assert error.retry_after_s == pytest.approx(60.0 - 1.0)
    assert "room in 60 s, useful for 13 s" in error.detail


def test_no_time_to_return_is_given_where_room_is_not_expected_soon(entry):
    far = tuple(rooms.ExpectedWait(wait_s, wait_s, wait_s) for wait_s in (0, 0, 0, 500))
    entry.publish(attrs.evolve(ROOM, waits=far))
    error = entry.refusal(FITTING)
    assert isinstance(error, admission.NoRoomError)
    assert error.retry_after_s is None


def test_refused_callers_return_one_after_another_oldest_first(entry):
    """A burst that is refused does not come back as a burst."""
    entry.publish(attrs.evolve(ROOM, waits=tuple(rooms.ExpectedWait(20, 20, 20) for _ in range(4))))
    delays = [entry.refusal(FITTING).retry_after_s for _ in range(100)]
    assert delays == sorted(delays)
    work_s = 2.0 / 32
    assert delays[-1] - delays[0] == pytest.approx(99 * work_s)


@pytest.mark.parametrize(
    "changes",
    [
        {"stretch": 10.0},
        {"objective_ms": 30_000},
        {"priority": 0, "guaranteed_accelerators": 1},
        {"priority": 0, "guaranteed_accelerators": 64},
    ],
)
def test_job_that_may_earn_something_or_is_guaranteed_is_accepted(entry, changes):
    assert entry.refusal(FITTING, **changes) is None


def test_urgent_job_beyond_the_guarantee_is_refused_like_others(entry):
    step = attrs.evolve(FITTING, task_count=3)
    assert entry.refusal(step, priority=0, guaranteed_accelerators=2) is not None


@pytest.mark.parametrize(
    "step",
    [
        attrs.evolve(FITTING, is_lasting=True),
        attrs.evolve(FITTING, task_count=5),
        attrs.evolve(FITTING, estimate_ms=30_000),
    ],
)
def test_lasting_wide_and_long_jobs_are_accepted(entry, step):
    assert entry.refusal(step) is None


def test_scheduled_job_is_accepted(entry):
    spec = _job(FITTING, schedule=specs.Schedule(3, 0, 1000))
    entry.policy.check(spec, _authorization())


def test_room_of_a_former_lead_counts_for_nothing(entry):
    entry.renew_lead(EPOCH + 1024)
    assert entry.refusal() is None
    entry.publish(epoch=EPOCH + 1024)
    assert entry.refusal() is not None


def test_room_of_a_former_lead_that_arrives_late_counts_for_nothing(entry):
    entry.renew_lead(EPOCH + 1024)
    entry.publish()
    assert entry.refusal() is None


def test_room_of_a_lead_that_has_resigned_counts_for_nothing(entry):
    entry.renew_lead(count=1, has_resigned=True)
    assert entry.refusal() is None


def test_room_counts_for_nothing_while_the_lead_renews_nothing(entry):
    """The lead is paused or cut off from the store, or this entry is."""
    entry.clock_source.advance(admission.ROOM_AGE_MAX_S + 0.1)
    assert entry.refusal() is None
    entry.renew_lead(count=1)
    assert entry.refusal() is None
    entry.renew_lead(count=1)
    assert entry.refusal() is not None


def test_records_that_are_read_at_once_show_no_lead_that_renews_them():
    """An entry that starts, or wakes, reads the records of a lead that may be long gone."""
    clock_source = clock.ManualClock(100.0)
    view = views.SharedView(clock_source)
    entry = Entry(clock_source, view, admission.RoomAdmission(view, clock_source))
    for _ in range(3):
        entry.store(records.LEAD_KEY, records.LeadRecord(EPOCH, "entry", "boot"))
    entry.publish()
    assert entry.refusal() is None
    entry.renew_lead(count=1)
    assert entry.refusal() is not None


@pytest.mark.parametrize("value", [b"\xc1", b"\x81\xa5epoch\xa1x", b"\x91\xc0"])
def test_unreadable_room_ends_that_which_was_read_before(entry, value):
    with pytest.raises(failures.RecordError):
        entry.view.apply(stores.KeyedRecord(records.ROOM_KEY, value))
    assert entry.refusal() is None
    entry.publish()
    assert entry.refusal() is not None


def test_room_with_negative_numbers_is_refused(entry):
    kind = attrs.evolve(KIND, worker_count=-1)
    with pytest.raises(failures.RecordError):
        entry.publish(attrs.evolve(ROOM, kinds=(kind,)))
    assert entry.refusal() is None


def test_deleted_room_counts_for_nothing(entry):
    assert entry.view.keys() == {records.ROOM_KEY}
    entry.view.apply(stores.KeyedRecord(records.ROOM_KEY, b""))
    assert entry.refusal() is None


def test_other_pools_are_not_known(entry):
    assert entry.refusal(pool="other") is None


def test_nothing_is_refused_after_an_answer_of_the_store_was_missing(entry):
    entry.policy.note_store_trouble()
    assert entry.refusal() is None
    for _ in range(30):
        entry.renew_lead(count=1)
    assert entry.refusal() is not None


class RefuseAll(admission.Admission):
    """Refuses what it is asked about."""

    def __init__(self):
        self.trouble_count = 0

    def check(self, spec, authorization):
        raise admission.NoWorkerError("none")

    def note_store_trouble(self):
        self.trouble_count += 1


@pytest.fixture
async def refusing(service):
    """Return a service that refuses each job that may be refused."""
    service.jobs._admission = RefuseAll()
    return service


@pytest.mark.anyio
async def test_refused_job_is_not_stored_and_nothing_is_appended(refusing, spec):
    appends = refusing.store.append_count
    with pytest.raises(admission.NoWorkerError) as caught:
        await refusing.jobs.submit(spec, refusing.authorization, 3.0)
    assert caught.value.ran is errors.Ran.NO
    assert refusing.store.append_count == appends
    assert not refusing.is_stored(records.JOB_PREFIX + spec.job_id)


@pytest.mark.anyio
async def test_job_that_another_entry_has_stored_is_not_refused(refusing, make_service, spec):
    """The call is repeated here after its answer was lost there."""
    other = await make_service("other", refusing.log)
    await other.jobs.submit(spec, other.authorization, 3.0)
    await refusing.jobs.submit(spec, refusing.authorization, 3.0)


@pytest.mark.anyio
async def test_job_that_was_appended_without_an_answer_is_not_refused(service, spec, monkeypatch):
    """The append may be carried out seconds later, and the job would run after a refusal."""

    async def lose_answer(*arguments, **options):
        raise errors.LogUnavailableError("no answer", ran=errors.Ran.UNKNOWN)

    monkeypatch.setattr(service.store, "append", lose_answer)
    with pytest.raises(job_service.JobTimeoutError):
        await service.jobs.submit(spec, service.authorization, 0.4)
    monkeypatch.undo()
    service.jobs._admission = RefuseAll()
    await service.jobs.submit(spec, service.authorization, 3.0)
    assert service.is_stored(records.JOB_PREFIX + spec.job_id)


@pytest.mark.anyio
async def test_unreadable_job_is_not_refused(refusing, spec):
    key = records.JOB_PREFIX + spec.job_id
    refusing.log.append(
        keyed_stores.Append(
            records.SHARED_PARTITION, (stores.KeyedRecord(key, b"\xc1"),), None, None
        )
    )
    await refusing.jobs.submit(spec, refusing.authorization, 3.0)


@pytest.mark.anyio
async def test_entry_that_is_cut_off_from_the_store_refuses_as_before(refusing, spec):
    refusing.store.fault = keyed_stores.StoreFault.BUSY
    with pytest.raises(failures.StoreUnavailableError):
        await refusing.jobs.submit(spec, refusing.authorization, 0.6)
    assert refusing.jobs._admission.trouble_count > 0
