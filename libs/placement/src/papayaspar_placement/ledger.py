"""Running gangs of the fleet, merged from the reports of their workers."""

from collections.abc import Iterator

import attrs

from papayaspar_model import workers
from papayaspar_placement import entitlements


@attrs.frozen
class _RunStart:
    """Start time of one run of a job, from its first report."""

    attempt: int
    at_s: float


class GangLedger:
    """Running gangs by job and team, and the accelerators that each team holds."""

    def __init__(self) -> None:
        self._uses: dict[str, dict[str, tuple[workers.GangUse, ...]]] = {}
        self._gangs: dict[str, entitlements.RunningGang] = {}
        self._jobs_by_team: dict[str, set[str]] = {}
        self._starts: dict[str, _RunStart] = {}
        self._accelerators: dict[str, int] = {}

    def gang(self, job_id: str) -> entitlements.RunningGang | None:
        """Return a gang by its job, or ``None``."""
        return self._gangs.get(job_id)

    def gangs(self) -> Iterator[entitlements.RunningGang]:
        """Return all gangs."""
        yield from self._gangs.values()

    def gangs_of(self, team: str) -> tuple[entitlements.RunningGang, ...]:
        """Return the gangs of a team, in order of their jobs."""
        return tuple(self._gangs[job_id] for job_id in sorted(self._jobs_by_team.get(team, ())))

    def accelerators_of(self, team: str) -> int:
        """Return how many accelerators a team holds."""
        return self._accelerators.get(team, 0)

    def holders(
        self, worker: str, jobs: set[str]
    ) -> dict[int, tuple[entitlements.RunningGang, ...]]:
        """Return the gangs that hold each used accelerator of a worker, by its number.

        Several gangs hold an accelerator while one is being stopped for another.

        :param worker: name of the worker.
        :param jobs: jobs that have a gang on it.
        """
        gangs_by_number: dict[int, tuple[entitlements.RunningGang, ...]] = {}
        for job_id in sorted(jobs):
            for use in self._uses[job_id][worker]:
                for number in use.accelerators:
                    gangs_by_number[number] = (
                        *gangs_by_number.get(number, ()),
                        self._gangs[job_id],
                    )
        return gangs_by_number

    def set_use(
        self, job_id: str, worker: str, uses: tuple[workers.GangUse, ...], now_s: float
    ) -> str | None:
        """Set what a job holds on one worker.

        :param job_id: the job.
        :param worker: name of the worker.
        :param uses: the accelerators it holds there; empty for none.
        :param now_s: current time of the view in seconds.
        :return: the team whose use changed, or ``None`` if nothing did.
        """
        by_worker = self._uses.setdefault(job_id, {})
        if _is_same_use(by_worker.get(worker, ()), uses):
            return None
        by_worker.pop(worker, None)
        if uses:
            by_worker[worker] = uses
        previous = self._gangs.pop(job_id, None)
        if previous is not None:
            self._update_totals(previous, -1)
        if not by_worker:
            del self._uses[job_id]
            self._starts.pop(job_id, None)
            return None if previous is None else previous.team
        merged = self._merge(job_id, by_worker, now_s)
        self._gangs[job_id] = merged
        self._update_totals(merged, 1)
        return merged.team

    def _update_totals(self, gang: entitlements.RunningGang, sign: int) -> None:
        total = self._accelerators.get(gang.team, 0) + sign * gang.accelerators
        self._accelerators[gang.team] = total
        jobs = self._jobs_by_team.setdefault(gang.team, set())
        jobs.discard(gang.name.job_id)
        if sign > 0:
            jobs.add(gang.name.job_id)

    def _start_time_s(self, newest: workers.GangUse, now_s: float) -> float:
        start = self._starts.get(newest.job_id)
        if start is None or start.attempt != newest.attempt:
            start = _RunStart(newest.attempt, now_s - newest.elapsed_s)
            self._starts[newest.job_id] = start
        return start.at_s

    def _merge(
        self, job_id: str, by_worker: dict[str, tuple[workers.GangUse, ...]], now_s: float
    ) -> entitlements.RunningGang:
        newest = max((use for uses in by_worker.values() for use in uses), key=_attempt)
        ranges: list[workers.AcceleratorRange] = []
        for worker in sorted(by_worker):
            held = {number for use in by_worker[worker] for number in use.accelerators}
            ranges.append(workers.AcceleratorRange(worker, tuple(sorted(held))))
        return entitlements.RunningGang(
            name=entitlements.GangName(job_id, newest.attempt),
            team=newest.team,
            accelerator_ranges=tuple(ranges),
            stoppable=newest.stoppable,
            checkpoint=newest.checkpoint,
            started_s=self._start_time_s(newest, now_s),
            declared_s=newest.elapsed_s + newest.remaining_s,
            lead_worker=newest.lead_worker,
        )


def _is_same_use(
    previous: tuple[workers.GangUse, ...], current: tuple[workers.GangUse, ...]
) -> bool:
    if not previous or len(previous) != len(current):
        return False
    for old, new in zip(previous, current, strict=True):
        if (old.attempt, old.accelerators) != (new.attempt, new.accelerators):
            return False
        if (old.stoppable, old.checkpoint) != (new.stoppable, new.checkpoint):
            return False
    return True


def _attempt(use: workers.GangUse) -> int:
    return use.attempt
