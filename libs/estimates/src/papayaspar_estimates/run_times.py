"""Run times of work and speeds of workers, learned together from finished runs.

The model is ``run time = declared^slope x bias(kind) x slowness(worker) x rest``, in logarithms.
The prediction for work is drawn from wide kinds to narrow ones; each level counts by the number and
the scatter of its runs (partial pooling): the same family of work of all teams, the team's work in
the queue, the team's family, the team's shape in the queue, and the step of the job itself.
"""

import collections
import math
import zlib
from collections.abc import Iterable, Iterator

import attrs

from papayaspar_estimates import robust, speeds, windows

KINDS_MAX = 512
STEPS_MAX = 256
# Number of identities of counted runs that are kept.
COUNTED_MAX = 8192
# Shortest run time that is told apart, in seconds.
DURATION_MIN_S = 0.001
# Standard deviation of what a level adds to the wider one, as a logarithm: with it, a level counts
# by how much its runs scatter.
LEVEL_SPREAD_LOG = 0.25
# All teams of a family count from this number of teams on: with fewer, one of them would decide for
# another.
TEAMS_MIN = 3
# Number of teams of a family that count, those whose runs ended last.
TEAMS_MAX = 32
# A step counts from this number of its runs on, and shows the speed of workers from this number of
# tasks or members of a gang on.
RUNS_OF_STEP_MIN = 3
# Number of paces that are kept of a step.
PACES_MAX = 64
# A level gives the high value from this number of runs on.
RUNS_OF_HIGH_MIN = 8
# Queue, shape or family of a level that has all of them.
ALL = ""


@attrs.frozen
class Kind:
    """Kind of work.

    :param team: team of the work.
    :param queue: queue of the work.
    :param shape: what the work runs or needs.
    :param family: the same less exactly, for comparison with work of other queues and teams.
    """

    team: str
    queue: str = ALL
    shape: str = ALL
    family: str = ALL


@attrs.frozen
class MemberRun:
    """Run of one member of a gang, or of a single task.

    :param node: VM of its worker.
    :param born_ms: start of the worker's incarnation, in milliseconds since the Unix epoch.
    :param worked_s: time that the member's own work took, in seconds; ``None`` if it is not known.
    :param is_pace_counted: whether :meth:`RunTimes.observe_pace` was told of the run before.
    """

    node: str
    born_ms: int
    worked_s: float | None
    is_pace_counted: bool = False


@attrs.frozen
class FinishedRun:
    """A run that ended successfully, with all its members.

    :param kind: kind of its work.
    :param step: name of its step, which its equal tasks share.
    :param identity: number of the run that no other run is likely to have.
    :param declared_s: declared run time in seconds.
    :param observed_s: run time of the whole work in seconds.
    :param members: its members; one unless it is a gang.
    """

    kind: Kind
    step: str
    identity: int
    declared_s: float
    observed_s: float
    members: tuple[MemberRun, ...]


@attrs.define
class _StepPaces:
    """Run times of the members of one step, finished or projected.

    :param runs: the newest ones.
    :param ordinary_log: logarithm of what they take on an ordinary worker; ``None`` if too few are
        known.
    """

    runs: collections.deque[MemberRun] = attrs.field(
        factory=lambda: collections.deque(maxlen=PACES_MAX)
    )
    ordinary_log: float | None = None


@attrs.frozen
class Expectation:
    """Expected run time on a worker of ordinary speed.

    :param middle_s: value that half of the runs stay below, in seconds.
    :param high_s: value that nearly all runs stay below, in seconds.
    :param run_count: number of finished runs behind the values; 0 if they are the declared ones.
    """

    middle_s: float
    high_s: float
    run_count: int


class RunTimes:
    """Learn run times and speeds from finished runs, with bounded memory.

    :attr:`revision` changes with each run and bound that counts.

    :param kinds_max: maximum number of kinds kept, each level counted.
    """

    def __init__(self, kinds_max: int = KINDS_MAX) -> None:
        self._kinds_max = kinds_max
        self.speeds = speeds.WorkerSpeeds()
        self.revision = 0
        # Kinds in order of their newest run.
        self._kinds: collections.OrderedDict[Kind, windows.RunWindow] = collections.OrderedDict()
        # Teams by family, in order of their newest run.
        self._teams: dict[str, dict[str, None]] = {}
        self._steps: collections.OrderedDict[str, windows.RunWindow] = collections.OrderedDict()
        self._paces: collections.OrderedDict[str, _StepPaces] = collections.OrderedDict()
        self._counted: collections.OrderedDict[int, None] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of kinds."""
        return len(self._kinds)

    def kinds(self) -> Iterator[tuple[Kind, windows.RunWindow]]:
        """Return the narrowest kinds, and the runs of each."""
        for kind, window in list(self._kinds.items()):
            if kind.shape != ALL:
                yield kind, window

    def is_counted(self, identity: int) -> bool:
        """Return whether a run was counted, here or by whom its records are from."""
        return identity in self._counted

    def observe(self, run: FinishedRun) -> bool:
        """Record a finished run; return whether it counts, which it does once."""
        if run.identity in self._counted:
            return False
        for member in run.members:
            if member.worked_s is not None and not member.is_pace_counted:
                self.observe_pace(run.kind.team, run.step, member)
        slowest = max(run.members, key=lambda member: member.worked_s or 0.0)
        declared_log = _log(run.declared_s)
        observed_log = _log(run.observed_s) - self.speeds.slowness_log(slowest.node)
        step = self._step(run.step)
        step.add(windows.Sample(declared_log, observed_log, run.identity, run.identity))
        fit = step.fit()
        assert fit is not None
        group = zlib.crc32(run.step.encode())
        sample = windows.Sample(
            declared_log, fit.level_log, group, run.identity, run_count=len(step)
        )
        self.restore(run.kind, sample)
        if len(step) >= RUNS_OF_STEP_MIN:
            for level in _levels(run.kind):
                self._window(level).add_scatter(observed_log - fit.level_log)
        self.revision += 1
        return True

    def restore(self, kind: Kind, sample: windows.Sample) -> None:
        """Count runs of a kind, also from a record of former evidence.

        :param kind: the kind, with its shape.
        :param sample: the runs.
        """
        if sample.identity in self._counted:
            return
        self._counted[sample.identity] = None
        if len(self._counted) > COUNTED_MAX:
            self._counted.popitem(last=False)
        for level in _levels(kind):
            self._window(level).add(sample)
        while len(self._kinds) > self._kinds_max:
            dropped, _ = self._kinds.popitem(last=False)
            if dropped.queue == ALL:
                self._teams[dropped.family].pop(dropped.team, None)

    def _window(self, kind: Kind) -> windows.RunWindow:
        """Return the window of a kind, which becomes the newest one."""
        window = self._kinds.pop(kind, None)
        if window is None:
            window = windows.RunWindow()
        self._kinds[kind] = window
        if kind.queue != ALL:
            return window
        teams = self._teams.setdefault(kind.family, {})
        teams.pop(kind.team, None)
        teams[kind.team] = None
        if len(teams) > TEAMS_MAX:
            del teams[next(iter(teams))]
        return window

    def _step(self, step: str) -> windows.RunWindow:
        window = self._steps.pop(step, None) or windows.RunWindow()
        self._steps[step] = window
        if len(self._steps) > STEPS_MAX:
            self._steps.popitem(last=False)
        return window

    def observe_pace(self, team: str, step: str, run: MemberRun) -> None:
        """Record the run time of a member, finished or projected from its progress.

        Runs of one step show their workers' speeds beside one another, since an error of the
        estimate is the same for all of them. To be called once for each run.

        :param team: team of the work.
        :param step: name of its step.
        :param run: the member's run, with its time.
        """
        paces = self._paces.pop(step, None) or _StepPaces()
        self._paces[step] = paces
        if len(self._paces) > STEPS_MAX:
            self._paces.popitem(last=False)
        paces.runs.append(run)
        if len(paces.runs) < RUNS_OF_STEP_MIN:
            return
        paces.ordinary_log = robust.median(
            _log(other.worked_s or 0.0) - self.speeds.excess_log(other.node) for other in paces.runs
        )
        # The first runs of a step wait for one another.
        shown = list(paces.runs) if len(paces.runs) == RUNS_OF_STEP_MIN else [run]
        for member in shown:
            excess_log = _log(member.worked_s or 0.0) - paces.ordinary_log
            self.speeds.observe(member.node, member.born_ms, team, excess_log)
        self.revision += 1

    def ordinary_s(self, step: str) -> float | None:
        """Return what the running and finished runs of a step take on an ordinary worker.

        :return: seconds, or ``None`` if too few runs are known.
        """
        paces = self._paces.get(step)
        if paces is None or paces.ordinary_log is None:
            return None
        return math.exp(paces.ordinary_log + self.speeds.center_log)

    def set_bound(
        self, kind: Kind, step: str, identity: int, declared_s: float, worked_s: float, node: str
    ) -> None:
        """Record that a run has worked for a time and goes on.

        :param kind: kind of its work.
        :param step: name of its step.
        :param identity: number of the run.
        :param declared_s: declared run time in seconds.
        :param worked_s: time that it has worked, in seconds.
        :param node: VM of its worker.
        """
        bound_log = _log(worked_s) - self.speeds.slowness_log(node)
        for window in self._windows_of(kind, step):
            window.set_bound(identity, _log(declared_s), bound_log)
        self.revision += 1

    def remove_bound(self, kind: Kind, step: str, identity: int) -> None:
        """Forget a run that ended without a result.

        :param kind: kind of its work.
        :param step: name of its step.
        :param identity: number of the run.
        """
        for window in self._windows_of(kind, step):
            window.remove_bound(identity)
        self.revision += 1

    def _windows_of(self, kind: Kind, step: str) -> Iterable[windows.RunWindow]:
        known = [self._kinds.get(level) for level in _levels(kind)]
        known.append(self._steps.get(step))
        return [window for window in known if window is not None]

    def expected(self, kind: Kind, step: str, declared_s: float) -> Expectation:
        """Return the expected run time of work on a worker of ordinary speed.

        :param kind: kind of the work.
        :param step: name of its step.
        :param declared_s: declared run time in seconds.
        """
        declared_log = _log(declared_s)
        middle_log, slope, run_count = declared_log, 1.0, 0
        high_log: float | None = None
        fits = self._fits_of_teams(kind.family)
        if len(fits) >= TEAMS_MIN:
            predicted_log = robust.median(fit.predict_log(declared_log) for fit in fits)
            run_count = sum(fit.run_count for fit in fits)
            spread_log = robust.median(fit.spread_log for fit in fits)
            middle_log = _pooled(middle_log, predicted_log, spread_log, float(run_count))
            slope = robust.median(fit.slope for fit in fits)
            high_log = robust.median(fit.high_log for fit in fits)
        for level in _levels(kind):
            window = self._kinds.get(level)
            fit = window.fit(slope) if window is not None else None
            if fit is None:
                continue
            middle_log = _pooled(
                middle_log, fit.predict_log(declared_log), fit.spread_log, fit.weight
            )
            slope, run_count = fit.slope, max(run_count, fit.run_count)
            if high_log is None or fit.run_count >= RUNS_OF_HIGH_MIN:
                high_log = fit.high_log
        step_window = self._steps.get(step)
        if step_window is not None and len(step_window) >= RUNS_OF_STEP_MIN:
            fit = step_window.fit()
            assert fit is not None
            middle_log = _pooled(middle_log, fit.level_log, fit.spread_log, fit.weight)
            if fit.run_count >= RUNS_OF_HIGH_MIN:
                high_log = fit.high_log
        if high_log is None:
            return Expectation(declared_s, declared_s, 0)
        return Expectation(math.exp(middle_log), math.exp(middle_log + high_log), run_count)

    def _fits_of_teams(self, family: str) -> list[windows.Fit]:
        """Return the fits of the teams of a family."""
        fits: list[windows.Fit] = []
        for team in self._teams.get(family, ()):
            window = self._kinds.get(Kind(team, family=family))
            fit = window.fit() if window is not None else None
            if fit is not None:
                fits.append(fit)
        return fits


def _levels(kind: Kind) -> tuple[Kind, ...]:
    """Return the levels of a team that a kind belongs to, the widest one first."""
    return Kind(kind.team, kind.queue), Kind(kind.team, family=kind.family), kind


def _pooled(wide_log: float, narrow_log: float, spread_log: float, weight: float) -> float:
    """Return a prediction between those of a wide and a narrow level, by their precision.

    :param spread_log: standard deviation of the runs of the narrow level.
    :param weight: weight of the narrow level, in runs.
    """
    wide_runs = (spread_log / LEVEL_SPREAD_LOG) ** 2
    return wide_log + (narrow_log - wide_log) * weight / (weight + wide_runs)


def _log(duration_s: float) -> float:
    return math.log(max(DURATION_MIN_S, duration_s))
