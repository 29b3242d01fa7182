"""Admission of new jobs: what is refused at once, by the room that the lead has published.

A refusal needs knowledge. Where there is none (no lead, an outdated or unreadable record, a store
that answers badly), every job is accepted.
"""

import abc

from papayaspar_intake import access
from papayaspar_jobs import rooms, specs
from papayaspar_model import clock, errors
from papayaspar_scheduling import ordering
from papayaspar_store import views

# Maximum age of the room, in seconds: the lead renews its record several times in this time.
ROOM_AGE_MAX_S = 2.0
# For this long after an answer of the store was missing, nothing is refused, in seconds: another
# entry may have stored the job of an earlier call in an append that is still carried out.
STORE_TROUBLE_S = 10.0
# Longest delay after which callers are told to return, in seconds; later room is not certain.
RETURN_MAX_S = 60.0


class NoWorkerError(errors.UnplaceableError):
    """No worker of the pool can ever run the job; it is not stored and never runs.

    The status is one that promises so to the callers of queues; that of the base class does not.
    """

    code = "no_worker"
    status = 503


class NoRoomError(errors.OverloadedError):
    """The job would begin after it has lost its value; it is not stored and never runs."""

    code = "no_room"
    title = "No room is expected while the job is of use"


class Admission(abc.ABC):
    """Decide whether a new job is accepted."""

    @abc.abstractmethod
    def check(self, spec: specs.JobSpec, authorization: access.Authorization) -> None:
        """Check a job that is certainly not stored.

        :param spec: the job.
        :param authorization: queue and team of the call.
        :raises NoWorkerError: when no worker of the pool can ever run the job.
        :raises NoRoomError: when the job can earn nothing any more.
        """

    @abc.abstractmethod
    def note_store_trouble(self) -> None:
        """Note that an answer of the store was missing."""


class ReturnTimes:
    """Times at which refused callers are told to return, one after another."""

    def __init__(self) -> None:
        self._last_s = float("-inf")

    def next_delay_s(self, now_s: float, room_in_s: float, work_s: float) -> float | None:
        """Return the delay for the next caller, or ``None`` if it would be too long.

        Callers that were refused before are told to return before.

        :param now_s: the entry's clock.
        :param room_in_s: time until room is expected for one such job, in seconds.
        :param work_s: time for which the job keeps the whole pool busy, in seconds.
        """
        return_s = max(now_s + room_in_s, self._last_s + work_s)
        if return_s - now_s > RETURN_MAX_S:
            return None
        self._last_s = return_s
        return return_s - now_s


class RoomAdmission(Admission):
    """Refuse what no worker can ever run, and what can earn nothing any more.

    :param view: view of the shared partition, with the room that the lead has published.
    :param clock_source: the entry's clock.
    """

    def __init__(self, view: views.SharedView, clock_source: clock.Clock) -> None:
        self._view = view
        self._clock = clock_source
        self._trouble_s = float("-inf")
        self._return_times: dict[tuple[str, int], ReturnTimes] = {}

    def note_store_trouble(self) -> None:
        """Refuse nothing for ``STORE_TROUBLE_S``."""
        self._trouble_s = self._clock.now_s()

    def check(self, spec: specs.JobSpec, authorization: access.Authorization) -> None:
        """Check a job by the newest room of its pool, if that is known."""
        if self._clock.now_s() - self._trouble_s < STORE_TROUBLE_S:
            return
        age_s = self._view.lead_age_s()
        room = self._view.find_room(authorization.queue.pool)
        if room is None or age_s > ROOM_AGE_MAX_S:
            return
        impossible = rooms.find_impossible(spec, room)
        if impossible is not None:
            raise NoWorkerError(
                f"{impossible.reason} pool={room.pool} summary_age_s={age_s:.1f}",
                field=impossible.field,
            )
        self._check_wait(spec, authorization, room, age_s)

    def _check_wait(
        self,
        spec: specs.JobSpec,
        authorization: access.Authorization,
        room: rooms.PoolRoom,
        age_s: float,
    ) -> None:
        queue = authorization.queue
        if _is_excepted(spec, authorization) or rooms.is_wide(spec, room):
            return
        rank = ordering.Rank.of(queue.priority, is_within_guarantee=False)
        wait_s = rooms.expected_wait_s(spec, room, rank)
        useful_s = rooms.useful_wait_s(spec, queue)
        if wait_s <= useful_s:
            return
        times = self._return_times.setdefault((room.pool, rank), ReturnTimes())
        retry_after_s = times.next_delay_s(
            self._clock.now_s(),
            wait_s - rooms.punctual_wait_s(spec, queue),
            rooms.pool_time_s(spec, room),
        )
        raise NoRoomError(
            f"room in {wait_s:.0f} s, useful for {useful_s:.0f} s"
            f" pool={room.pool} rank={rank.name} summary_age_s={age_s:.1f}",
            retry_after_s=retry_after_s,
        )


def _is_excepted(spec: specs.JobSpec, authorization: access.Authorization) -> bool:
    """Return whether a job is never refused for want of room.

    Which of a team's jobs its guarantee covers is known to the lead: an entry may not have read yet
    that another one ended. So any urgent job that the guarantee could hold is excepted.
    """
    if spec.schedule is not None or any(step.is_lasting for step in spec.steps):
        return True
    if authorization.queue.priority != 0:
        return False
    return spec.first_step_resources.accelerators <= authorization.guaranteed_accelerators
