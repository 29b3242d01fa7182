"""An entry's view of the shared partition: jobs, the lead and the agents."""

from papayaspar_jobs import registries, rooms, specs
from papayaspar_model import clock
from papayaspar_store import failures, following, records, stores

# Bounds on the time between the readings of two records of the lead that show that it renews them,
# in seconds. Records that are read together may be old: those of a snapshot, or those that follow
# a pause of this process.
RENEWAL_MIN_S = 0.1
RENEWAL_MAX_S = 2.0


class SharedView(following.RecordSink):
    """State derived from the records of the shared partition.

    :attr:`lead_seen_s` is the time at which the latest record of the lead was read, or ``None``
    before the first. :attr:`is_lead_unreadable` tells whether that record can't be decoded;
    :attr:`lead` then holds an earlier one. :attr:`room` is the newest record of the pools' room, or
    ``None`` if there is none or it can't be decoded, which :attr:`is_room_unreadable` tells.

    :param clock_source: clock for the times at which records are read.
    """

    def __init__(self, clock_source: clock.Clock) -> None:
        self._clock = clock_source
        self.jobs = registries.JobRegistry()
        self.agents: dict[str, records.AgentRecord] = {}
        self.lead: records.LeadRecord | None = None
        self.lead_seen_s: float | None = None
        self.is_lead_unreadable = False
        # Time between the readings of the two newest records of this lead, in seconds.
        self._renewal_s = float("inf")
        self.room: records.RoomRecord | None = None
        self.is_room_unreadable = False
        self._unreadable_jobs: set[str] = set()

    def has_unreadable_job(self, job_id: str) -> bool:
        """Return whether a job has a record that can't be decoded."""
        return job_id in self._unreadable_jobs

    def keys(self) -> frozenset[str]:
        """Return the keys of the jobs and the agents, and that of the room."""
        jobs = (records.JOB_PREFIX + job.spec.job_id for job in self.jobs)
        unreadable = (records.JOB_PREFIX + job_id for job_id in self._unreadable_jobs)
        agents = (records.AGENT_PREFIX + node for node in self.agents)
        room = (records.ROOM_KEY,) if self.room is not None else ()
        return frozenset((*jobs, *unreadable, *agents, *room))

    def lead_age_s(self) -> float:
        """Return the time since the lead's newest record was read, in seconds; infinite if none."""
        if self.lead_seen_s is None:
            return float("inf")
        return self._clock.now_s() - self.lead_seen_s

    def find_room(self, pool: str) -> rooms.PoolRoom | None:
        """Return the room of a pool that the present lead has published, or ``None``.

        ``None`` also if the lead is not seen to renew its record, and may be a former one.

        It is as old as the lead's record (:meth:`lead_age_s`).

        :param pool: name of the pool.
        """
        if self.room is None or self.lead is None:
            return None
        if self.is_lead_unreadable or self.lead.has_resigned:
            return None
        if self.room.epoch != self.lead.epoch:
            return None
        if not RENEWAL_MIN_S <= self._renewal_s <= RENEWAL_MAX_S:
            return None
        for pool_room in self.room.pools:
            if pool_room.pool == pool:
                return pool_room
        return None

    def apply(self, record: stores.KeyedRecord) -> None:
        """Apply a record to the view.

        :raises RecordError: when the record can't be decoded.
        """
        key = record.key
        if not record.value:
            self._delete(key)
            return
        if key.startswith(records.JOB_PREFIX):
            self._apply_job(record)
        elif key.startswith(records.CANCEL_PREFIX):
            cancellation = records.decode(record, records.CancelRecord)
            self.jobs.cancel(key.removeprefix(records.CANCEL_PREFIX), cancellation.team)
        elif key.startswith(records.STATE_PREFIX):
            state = records.decode(record, records.StateRecord)
            self._apply_state(key.removeprefix(records.STATE_PREFIX), state)
        elif key.startswith(records.AGENT_PREFIX):
            agent = records.decode(record, records.AgentRecord)
            if agent.node != key.removeprefix(records.AGENT_PREFIX):
                raise failures.RecordError(f"{key}: the record is of another VM")
            self.agents[agent.node] = agent
        elif key == records.LEAD_KEY:
            self._apply_lead(record)
        elif key == records.ROOM_KEY:
            self._apply_room(record)
        else:
            raise failures.RecordError(f"unknown key {key}")

    def _apply_job(self, record: stores.KeyedRecord) -> None:
        job_id = record.key.removeprefix(records.JOB_PREFIX)
        self._unreadable_jobs.add(job_id)
        job = records.decode(record, records.JobRecord)
        _check_job(job, record.key)
        self._unreadable_jobs.discard(job_id)
        self.jobs.accept(job.spec, job.queue, job.accepted_ms)

    def _apply_state(self, job_id: str, state: records.StateRecord) -> None:
        self.jobs.set_phase(job_id, state.phase)
        job = self.jobs.find(job_id)
        if job is not None and job.phase.is_final and job.ended_s is None:
            job.ended_s = self._clock.now_s()

    def _apply_lead(self, record: stores.KeyedRecord) -> None:
        try:
            lead = _decode_lead(record)
        except failures.RecordError:
            # A lead of another version may have stored it.
            self.lead_seen_s = self._clock.now_s()
            self.is_lead_unreadable = True
            raise
        if self.lead is not None and lead.epoch < self.lead.epoch:
            return
        is_renewal = self.lead is not None and lead.epoch == self.lead.epoch
        self._renewal_s = self.lead_age_s() if is_renewal else float("inf")
        self.lead = lead
        self.lead_seen_s = self._clock.now_s()
        self.is_lead_unreadable = False

    def _apply_room(self, record: stores.KeyedRecord) -> None:
        # The room that was read before is outdated, whatever this record holds.
        self.room, self.is_room_unreadable = None, True
        room = records.decode(record, records.RoomRecord)
        _check_room(room)
        self.room, self.is_room_unreadable = room, False

    def _delete(self, key: str) -> None:
        if key.startswith(records.JOB_PREFIX):
            self.jobs.forget(key.removeprefix(records.JOB_PREFIX))
            self._unreadable_jobs.discard(key.removeprefix(records.JOB_PREFIX))
        elif key.startswith(records.AGENT_PREFIX):
            self.agents.pop(key.removeprefix(records.AGENT_PREFIX), None)
        elif key == records.ROOM_KEY:
            self.room, self.is_room_unreadable = None, False


def _decode_lead(record: stores.KeyedRecord) -> records.LeadRecord:
    """Return a decoded record of a lead.

    :raises RecordError: when the record can't be decoded.
    """
    lead = records.decode(record, records.LeadRecord)
    if not 0 <= lead.epoch <= records.EPOCH_MAX:
        raise failures.RecordError("the epoch of the lead is out of range")
    return lead


def _check_room(room: records.RoomRecord) -> None:
    """Check the numbers of a record of the pools' room.

    :raises RecordError: when one of them is negative.
    """
    for pool_room in room.pools:
        numbers = [room.epoch]
        for wait in pool_room.waits:
            numbers += (wait.cpu_s, wait.memory_s, wait.accelerators_s)
        for kind in pool_room.kinds:
            numbers += (kind.worker_count, kind.capacity.cpu_millicores)
            numbers += (kind.capacity.memory_mb, kind.capacity.accelerators)
        if min(numbers) < 0:
            raise failures.RecordError(f"{records.ROOM_KEY}: a number is negative")


def _check_job(job: records.JobRecord, key: str) -> None:
    """Check a job's record as its submission was checked.

    :raises RecordError: when the job is not valid or is stored under another key.
    """
    if job.spec.job_id != key.removeprefix(records.JOB_PREFIX):
        raise failures.RecordError(f"{key}: the record is of another job")
    try:
        specs.validate(job.spec)
    except specs.InvalidJobError as error:
        raise failures.RecordError(f"{key}: {error.detail}") from error
