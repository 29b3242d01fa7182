"""Speeds of workers, learned from runs of equal work on several of them."""

import collections
import math
from collections.abc import Iterator

import attrs

from papayaspar_estimates import robust

WORKERS_MAX = 4096
# Number of runs that are kept of each worker, and number of later runs after which the weight of a
# run is halved.
RUNS_MAX = 12
HALF_LIFE_RUNS = 6.0
# Weight, in runs, with which half of what they show counts: one or two runs may just be long.
HALF_CERTAIN_RUNS = 1.75
# Runs of this many teams outvote those of one team.
TEAMS_MIN = 3
SLOWNESS_MIN = 0.1
SLOWNESS_MAX = 20.0
EXCESS_LOG_MAX = math.log(SLOWNESS_MAX)
# The speed of an ordinary worker is computed again after this many runs, or after runs of this
# share of the workers.
CENTER_RUNS_MIN = 16
CENTER_WORKERS_SHARE = 0.125
# Number of runs of a worker from which it counts in the speed of an ordinary worker.
CENTER_RUNS_OF_WORKER_MIN = 2


@attrs.frozen
class _Run:
    team: str
    excess_log: float


@attrs.define
class WorkerRuns:
    """The newest runs on one incarnation of a worker.

    :param born_ms: start of the incarnation, in milliseconds since the Unix epoch.
    :param excess_log: weighted median of the logarithms of the runs' time as multiples of what
        their work takes on other workers.
    """

    born_ms: int
    excess_log: float = 0.0
    _runs: collections.deque[_Run] = attrs.field(
        factory=lambda: collections.deque(maxlen=RUNS_MAX), init=False
    )
    _weight: float = attrs.field(default=0.0, init=False)

    @property
    def run_count(self) -> int:
        """Number of the runs."""
        return len(self._runs)

    @property
    def certainty(self) -> float:
        """Share of the excess that counts, from 0 without runs to nearly 1."""
        return self._weight**2 / (self._weight**2 + HALF_CERTAIN_RUNS**2)

    def add(self, team: str, excess_log: float) -> None:
        """Add a run of a team."""
        self._runs.append(_Run(team, excess_log))
        weighted: dict[str, list[tuple[float, float]]] = {}
        self._weight = 0.0
        for age, run in enumerate(reversed(self._runs)):
            weight = 0.5 ** (age / HALF_LIFE_RUNS)
            weighted.setdefault(run.team, []).append((run.excess_log, weight))
            self._weight += weight
        if len(weighted) >= TEAMS_MIN:
            self.excess_log = robust.median(
                robust.weighted_quantile(runs, robust.MEDIAN_SHARE) for runs in weighted.values()
            )
            return
        everything = [pair for runs in weighted.values() for pair in runs]
        self.excess_log = robust.weighted_quantile(everything, robust.MEDIAN_SHARE)


class WorkerSpeeds:
    """Slowness of each worker, as a multiple of the run time on the median worker.

    :param workers_max: maximum number of workers kept.
    """

    def __init__(self, workers_max: int = WORKERS_MAX) -> None:
        self._workers_max = workers_max
        self._workers: collections.OrderedDict[str, WorkerRuns] = collections.OrderedDict()
        self._center_log = 0.0
        self._runs_since_center = 0

    def __len__(self) -> int:
        """Return the number of workers."""
        return len(self._workers)

    def __iter__(self) -> Iterator[tuple[str, WorkerRuns]]:
        """Return the VM and the runs of each worker."""
        return iter(list(self._workers.items()))

    def observe(self, node: str, born_ms: int, team: str, excess_log: float) -> None:
        """Record what a run shows of its worker's speed.

        :param node: VM of the worker.
        :param born_ms: start of the worker's incarnation, in milliseconds since the Unix epoch.
        :param team: team of the run.
        :param excess_log: logarithm of the run's time as a multiple of what its work takes on an
            ordinary worker.
        """
        runs = self._workers.pop(node, None)
        if runs is None or runs.born_ms != born_ms:
            runs = WorkerRuns(born_ms)
        runs.add(team, min(EXCESS_LOG_MAX, max(-EXCESS_LOG_MAX, excess_log)))
        self._workers[node] = runs
        if len(self._workers) > self._workers_max:
            self._workers.popitem(last=False)
        self._runs_since_center += 1
        if self._runs_since_center >= max(
            CENTER_RUNS_MIN, CENTER_WORKERS_SHARE * len(self._workers)
        ):
            self._update_center()

    def _update_center(self) -> None:
        self._runs_since_center = 0
        known = [
            runs.excess_log
            for runs in self._workers.values()
            if runs.run_count >= CENTER_RUNS_OF_WORKER_MIN
        ]
        if known:
            self._center_log = robust.median(known)

    def restore(self, node: str, born_ms: int, excess_log: float, run_count: int) -> None:
        """Begin with what a record of former evidence says of a worker.

        :param node: VM of the worker.
        :param born_ms: start of the worker's incarnation, in milliseconds since the Unix epoch.
        :param excess_log: weighted median of its runs.
        :param run_count: number of its runs.
        """
        for _ in range(min(RUNS_MAX, run_count)):
            self.observe(node, born_ms, "", excess_log)

    def begin_incarnation(self, node: str, born_ms: int) -> None:
        """Forget the runs on other incarnations of a worker, which may have been other machines.

        :param node: VM of the worker.
        :param born_ms: start of its incarnation, in milliseconds since the Unix epoch.
        """
        runs = self._workers.get(node)
        if runs is not None and runs.born_ms != born_ms:
            del self._workers[node]

    @property
    def center_log(self) -> float:
        """Logarithm of the median worker's run time, as a multiple of that of no particular worker.

        Excesses are relative to one another only.
        """
        return self._center_log

    def excess_log(self, node: str) -> float:
        """Return a worker's excess, pulled towards 0 while few runs are known.

        Runs are compared with this value taken off. It must not depend on the median worker, which
        follows later: the excesses would grow without bound.
        """
        runs = self._workers.get(node)
        return runs.certainty * runs.excess_log if runs is not None else 0.0

    def slowness_log(self, node: str) -> float:
        """Return the logarithm of a worker's slowness; 0 for an ordinary or unknown worker."""
        runs = self._workers.get(node)
        if runs is None:
            return 0.0
        return runs.certainty * (runs.excess_log - self._center_log)

    def slowness(self, node: str) -> float:
        """Return a worker's run time of equal work, as a multiple of the median worker's.

        :param node: VM of the worker.
        """
        return min(SLOWNESS_MAX, max(SLOWNESS_MIN, math.exp(self.slowness_log(node))))
