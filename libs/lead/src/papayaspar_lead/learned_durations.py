"""Expected run times of the lead's tasks, learned from its finished runs."""

import functools
import zlib

from papayaspar_estimates import run_times
from papayaspar_jobs import durations, specs, tasks

MILLISECONDS_PER_SECOND = 1000.0
# Expected run times are computed again at most at this interval, in seconds: runs end all the time,
# and thousands of waiting units are ordered by what is expected.
REVISION_INTERVAL_S = 1.0
# Number of expected run times that are kept between two revisions.
CACHE_SIZE = 4096
SHAPES_CACHE_SIZE = 1024


class LearnedDurations(durations.DurationEstimates):
    """Expected run times by kind of work, and slowness of workers.

    :param times: what is learned.
    """

    def __init__(self, times: run_times.RunTimes) -> None:
        self.times = times
        self._revision = 0
        self._seen_revision = 0
        self._refreshed_s = float("-inf")
        self._cache: dict[tuple[str, specs.Step], durations.ExpectedDuration] = {}

    @property
    def revision(self) -> int:
        """Number that changes with what is expected."""
        return self._revision

    def refresh(self, now_s: float) -> None:
        """Let the evidence of the last seconds count, unless it did recently.

        :param now_s: the lead's clock.
        """
        if self.times.revision == self._seen_revision:
            return
        if now_s - self._refreshed_s < REVISION_INTERVAL_S:
            return
        self._refreshed_s = now_s
        self._seen_revision = self.times.revision
        self._revision += 1
        self._cache.clear()

    def expected(self, spec: specs.JobSpec, step: specs.Step) -> durations.ExpectedDuration:
        """Return the expected run time of a task; of a lasting one the declared run time."""
        key = (spec.job_id, step)
        expected = self._cache.get(key)
        if expected is None:
            if len(self._cache) >= CACHE_SIZE:
                self._cache.clear()
            expected = self._cache[key] = self._computed(spec, step)
        return expected

    def _computed(self, spec: specs.JobSpec, step: specs.Step) -> durations.ExpectedDuration:
        declared_s = step.estimate_ms / MILLISECONDS_PER_SECOND
        if step.is_lasting:
            return durations.ExpectedDuration(declared_s, declared_s)
        learned = self.times.expected(kind_of(spec, step), step_name(spec, step), declared_s)
        source = durations.Source.LEARNED if learned.run_count else durations.Source.DECLARED
        return durations.ExpectedDuration(
            learned.middle_s, learned.high_s, source, learned.run_count
        )

    def slowness(self, node: str) -> float:
        """Return a worker's run time of equal work, as a multiple of the median worker's."""
        return self.times.speeds.slowness(node)


def kind_of(spec: specs.JobSpec, step: specs.Step) -> run_times.Kind:
    """Return the kind of work of a step."""
    return run_times.Kind(spec.team, spec.queue, _shape(step), _family(step))


@functools.lru_cache(maxsize=SHAPES_CACHE_SIZE)
def _shape(step: specs.Step) -> str:
    """Return what the tasks of a step run, or else what they need."""
    if step.image:
        return step.image
    return f"{_family(step)}/{step.room.accelerators}a"


def _family(step: specs.Step) -> str:
    """Return the same, but for the number of accelerators, of which tasks take more or fewer."""
    if step.image:
        return step.image
    gang = "gang" if step.is_gang else "task"
    return f"{gang}/{step.room.cpu_millicores}m/{step.room.memory_mb}MB"


def step_name(spec: specs.JobSpec, step: specs.Step) -> str:
    """Return the name of a step, which is the same in all occurrences of its job."""
    return f"{spec.job_id}.{spec.steps.index(step)}"


def identity_of(key: tasks.TaskKey, run: int) -> int:
    """Return a number of a run that hardly any other run has; it is the same on every lead.

    :param key: the task; of a gang its first one.
    :param run: number of the run.
    """
    return zlib.crc32(f"{key}#{run}".encode())
