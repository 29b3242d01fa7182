"""Evidence of run times and worker speeds, from what workers report of the lead's runs."""

import collections
import math
from collections.abc import Sequence

import attrs

from papayaspar_estimates import robust, run_times
from papayaspar_events import journal
from papayaspar_jobs import durations, tasks, units
from papayaspar_lead import learned_durations
from papayaspar_scheduling import fleet, health

MILLISECONDS_PER_SECOND = 1000.0
# A member's progress from which the time of its own work is computed, in percent.
WORKED_PERCENT_MIN = 90.0
# Progress in percent up to which the first report of a resumed run tells how long all of its work
# takes.
RESUMED_PERCENT_MAX = 80.0
# A run that was last heard of this long before its end, in seconds and as a share of its run time,
# may have ended some time ago.
SILENCE_MAX_S = 1.5
SILENCE_SHARE_MAX = 0.1
# Progress in percent from which the run time of a running task is projected, to compare the speeds
# of workers.
PROJECTED_PERCENT_MIN = 25.0
# Number of workers whose rack and incarnation are kept: more than a fleet has at a time.
PLACES_MAX = 65_536
# Number of running runs whose pace is kept of each worker.
PACES_MAX = 8
# A worker is slow by the pace of its running runs from this multiple of what is expected on.
SLOW_PACE_LOG = math.log(health.SLOW_RATIO)


@attrs.frozen
class _WorkerPlace:
    rack: str
    born_ms: int


@attrs.define
class _ResumedRun:
    """A run that began with a checkpoint, and its first report of progress."""

    run: int
    percent: float | None = None
    reported_s: float = 0.0


class RunLearner:
    """Learn from the runs that this lead saw from their start to their end.

    :param events: journal, for the metrics of predictions.
    :param is_enabled: whether anything is learned; otherwise the declared run times hold.
    """

    def __init__(self, events: journal.Journal, is_enabled: bool = True) -> None:
        self.times = run_times.RunTimes()
        self._events = events
        self._learned = learned_durations.LearnedDurations(self.times) if is_enabled else None
        self._declared = durations.DeclaredDurations()
        self._places: dict[str, _WorkerPlace] = {}
        self._resumed: dict[tasks.TaskKey, _ResumedRun] = {}
        # Assigned units that may be slow because of the racks that they run on.
        self._remote_units: set[units.Unit] = set()
        # Units of which a run was counted as a bound.
        self._bounded_units: set[units.Unit] = set()
        # Logarithm of the pace of running runs as a multiple of what is expected, by VM; only of
        # workers on which a run was slow.
        self._paces: dict[str, collections.OrderedDict[tasks.TaskKey, float]] = {}

    @property
    def estimates(self) -> durations.DurationEstimates:
        """Expected run times and worker speeds."""
        return self._learned or self._declared

    def refresh(self, now_s: float) -> None:
        """Let new evidence count in what is expected; to be called in each planning round."""
        if self._learned is not None:
            self._learned.refresh(now_s)

    def note_worker(self, worker: fleet.Worker) -> None:
        """Note a worker's rack and incarnation; another incarnation begins without evidence."""
        if worker.incarnation is None:
            return
        place = _WorkerPlace(worker.rack, worker.incarnation.born_ms)
        if self._places.get(worker.node) == place:
            return
        self._places[worker.node] = place
        if len(self._places) > PLACES_MAX:
            del self._places[next(iter(self._places))]
        self.times.speeds.begin_incarnation(worker.node, worker.incarnation.born_ms)

    def slowness(self, node: str) -> float:
        """Return a worker's slowness, from finished runs and the pace of the running ones."""
        slowness = self.estimates.slowness(node)
        paces = self._paces.get(node)
        if not paces:
            return slowness
        # One run alone is as likely long as its worker is slow.
        pace_log = robust.median(paces.values()) * len(paces) / (len(paces) + 1.0)
        return slowness * math.exp(pace_log) if pace_log >= SLOW_PACE_LOG else slowness

    def note_start(self, unit: units.Unit) -> None:
        """Note that a unit was assigned to workers."""
        unit.expected = unit.job.expected(unit)
        if self._may_be_remote(unit):
            self._remote_units.add(unit)
        for task in unit.members:
            self._resumed.pop(task.key, None)
            if task.record.checkpoint:
                self._resumed[task.key] = _ResumedRun(task.record.run)

    def note_progress(self, task: units.Task, former_percent: float, now_s: float) -> float:
        """Note the progress of a run; return its pace as a multiple of what was declared.

        :param task: the task, whose progress has increased.
        :param former_percent: progress that was reported before, so that each run is compared with
            others once, however often it is reported.
        :param now_s: the lead's clock.
        :return: the pace, or 1 where the worker can't be judged by it, or judged it is here.
        """
        resumed = self._resumed.get(task.key)
        if resumed is not None and resumed.run == task.record.run and resumed.percent is None:
            resumed.percent, resumed.reported_s = task.percent, now_s
        ratio = task.pace_ratio(now_s)
        if ratio is None or task.step.is_lasting or task.unit in self._remote_units:
            return 1.0
        if self._learned is None:
            return ratio
        unit, expected = task.unit, task.unit.expected
        step = learned_durations.step_name(unit.job.spec, unit.step)
        projected_s = ratio * task.step.estimate_ms / MILLISECONDS_PER_SECOND
        if former_percent < PROJECTED_PERCENT_MIN <= task.percent:
            self.times.observe_pace(unit.job.spec.team, step, self._member_run(task, projected_s))
        if task is unit.members[0] and expected is not None and expected.is_learned:
            # One member tells of the whole gang, of which each may have hundreds.
            self._note_bound(unit, expected, now_s)
        ordinary_s = self.times.ordinary_s(step)
        if ordinary_s is None and expected is not None and expected.is_learned:
            ordinary_s = expected.middle_s
        if ordinary_s is None:
            return ratio
        self._note_pace(task, projected_s, ordinary_s)
        return 1.0

    def _note_pace(self, task: units.Task, projected_s: float, ordinary_s: float) -> None:
        node = task.record.node
        pace_log = math.log(max(projected_s, run_times.DURATION_MIN_S) / ordinary_s)
        pace_log -= self.times.speeds.slowness_log(node)
        paces = self._paces.get(node)
        if paces is None:
            if pace_log < SLOW_PACE_LOG:
                return
            paces = self._paces[node] = collections.OrderedDict()
        paces.pop(task.key, None)
        paces[task.key] = pace_log
        if len(paces) > PACES_MAX:
            paces.popitem(last=False)

    def _note_bound(
        self, unit: units.Unit, expected: durations.ExpectedDuration, now_s: float
    ) -> None:
        """Count a run that works longer than expected as a bound from below."""
        key, step = unit.members[0].key, unit.step
        slowest = max(unit.members, key=lambda member: self.estimates.slowness(member.record.node))
        worked_s = now_s - max(member.started_s for member in unit.members)
        if worked_s <= expected.middle_s * self.estimates.slowness(slowest.record.node):
            return
        self._bounded_units.add(unit)
        self.times.set_bound(
            learned_durations.kind_of(unit.job.spec, step),
            learned_durations.step_name(unit.job.spec, step),
            learned_durations.identity_of(key, unit.members[0].record.run),
            step.estimate_ms / MILLISECONDS_PER_SECOND,
            worked_s,
            slowest.record.node,
        )

    def note_end(self, task: units.Task) -> None:
        """Note that a run ended, however it did; a run without a result is no evidence."""
        self._resumed.pop(task.key, None)
        paces = self._paces.get(task.record.node)
        if paces is not None:
            paces.pop(task.key, None)
            if not paces or max(paces.values()) < SLOW_PACE_LOG:
                del self._paces[task.record.node]
        unit = task.unit
        self._remote_units.discard(unit)
        if unit not in self._bounded_units:
            return
        self._bounded_units.discard(unit)
        first = unit.members[0]
        self.times.remove_bound(
            learned_durations.kind_of(unit.job.spec, unit.step),
            learned_durations.step_name(unit.job.spec, unit.step),
            learned_durations.identity_of(first.key, first.record.run),
        )

    def note_success(self, task: units.Task, now_s: float) -> None:
        """Learn from a run that ended successfully, with all members of its gang.

        :param task: the task whose end was reported, still with the record of the run.
        :param now_s: the lead's clock.
        """
        unit, step = task.unit, task.step
        members = unit.members
        if self._learned is None or step.is_lasting:
            return
        if any(m.record.run != task.record.run or not m.is_assigned for m in members):
            return
        observed_s = self._worked_s(members, now_s)
        if observed_s is None or unit in self._remote_units:
            return
        run = run_times.FinishedRun(
            learned_durations.kind_of(unit.job.spec, step),
            learned_durations.step_name(unit.job.spec, step),
            learned_durations.identity_of(members[0].key, task.record.run),
            step.estimate_ms / MILLISECONDS_PER_SECOND,
            observed_s,
            tuple(self._finished_member(member, members, observed_s) for member in members),
        )
        if not self.times.observe(run) or unit.expected is None:
            return
        slowness = max(self.estimates.slowness(member.record.node) for member in members)
        self._events.metrics.observe_prediction(
            unit.expected.source.value, unit.expected.middle_s * slowness / observed_s
        )

    def _worked_s(self, members: Sequence[units.Task], now_s: float) -> float | None:
        """Return how long a run's whole work takes, or ``None`` if that was not seen."""
        heard_s = max(member.progressed_s for member in members)
        has_progress = any(member.percent > 0.0 for member in members)
        if all(member.is_start_seen for member in members):
            worked_s = now_s - max(member.started_s for member in members)
        else:
            resumed_s = self._resumed_work_s(members, now_s)
            if resumed_s is None:
                return None
            worked_s = resumed_s
        if worked_s <= 0.0:
            return None
        if has_progress and now_s - heard_s > max(SILENCE_MAX_S, SILENCE_SHARE_MAX * worked_s):
            return None
        return worked_s

    def _resumed_work_s(self, members: Sequence[units.Task], now_s: float) -> float | None:
        """Return how long all of the work of a resumed run takes, by the part that it worked."""
        longest_s = 0.0
        for member in members:
            resumed = self._resumed.get(member.key)
            if resumed is None or resumed.run != member.record.run or resumed.percent is None:
                return None
            if resumed.percent > RESUMED_PERCENT_MAX:
                return None
            part = 1.0 - resumed.percent / 100.0
            longest_s = max(longest_s, (now_s - resumed.reported_s) / part)
        return longest_s

    def _finished_member(
        self, member: units.Task, members: Sequence[units.Task], observed_s: float
    ) -> run_times.MemberRun:
        if len(members) == 1:
            return self._member_run(member, observed_s)
        if not member.is_start_seen or member.percent < WORKED_PERCENT_MIN:
            return self._member_run(member, None)
        # The members of a gang work from the moment at which all of them are present.
        started_s = max(other.started_s for other in members)
        worked_s = max(0.0, member.progressed_s - started_s) * 100.0 / member.percent
        return self._member_run(member, worked_s)

    def _member_run(self, member: units.Task, worked_s: float | None) -> run_times.MemberRun:
        place = self._places.get(member.record.node)
        return run_times.MemberRun(
            member.record.node,
            place.born_ms if place is not None else 0,
            worked_s,
            is_pace_counted=member.percent >= PROJECTED_PERCENT_MIN,
        )

    def _may_be_remote(self, unit: units.Unit) -> bool:
        """Return whether a unit may be slow because it runs on other racks than it should."""
        step = unit.step
        if not step.data_rack and not step.is_same_rack:
            return False
        racks = set()
        for member in unit.members:
            place = self._places.get(member.record.node)
            if place is None:
                return True
            racks.add(place.rack)
        if step.data_rack:
            return racks != {step.data_rack}
        return len(racks) > 1
