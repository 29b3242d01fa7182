"""Expected run times of tasks: the interface between what learns them and what decides by them."""

import abc
import enum

import attrs

from papayaspar_jobs import specs

MILLISECONDS_PER_SECOND = 1000.0


class Source(enum.Enum):
    """Where an expected run time comes from.

    ``DECLARED``: the caller's estimate. ``LEARNED``: finished runs of the same kind of work.
    """

    DECLARED = "declared"
    LEARNED = "learned"


@attrs.frozen
class ExpectedDuration:
    """Expected run time of one task on a worker of ordinary speed.

    :param middle_s: value that half of the runs stay below, in seconds.
    :param high_s: value that nearly all runs stay below, in seconds; at least ``middle_s``.
    :param source: where the values come from.
    :param run_count: number of finished runs behind the values; 0 if they are declared.
    """

    middle_s: float
    high_s: float
    source: Source = Source.DECLARED
    run_count: int = 0

    @property
    def is_learned(self) -> bool:
        """Whether finished runs stand behind the values."""
        return self.source is Source.LEARNED

    @property
    def summary(self) -> str:
        """Short text for logs: values, source and number of runs."""
        return (
            f"expected_s={self.middle_s:.2f} high_s={self.high_s:.2f}"
            f" source={self.source.value} runs={self.run_count}"
        )


class DurationEstimates(abc.ABC):
    """Expected run times of tasks."""

    @property
    def revision(self) -> int:
        """Number that changes whenever expected run times may have changed."""
        return 0

    @abc.abstractmethod
    def expected(self, spec: specs.JobSpec, step: specs.Step) -> ExpectedDuration:
        """Return the expected run time of a task from its beginning.

        :param spec: the task's job, which names the team and the queue.
        :param step: the task's step.
        """

    @abc.abstractmethod
    def slowness(self, node: str) -> float:
        """Return a worker's run time of equal work, as a multiple of an ordinary worker's.

        :param node: VM of the worker.
        """


class DeclaredDurations(DurationEstimates):
    """The callers' estimates, with workers of equal speed; nothing is learned."""

    def expected(self, spec: specs.JobSpec, step: specs.Step) -> ExpectedDuration:
        """Return the caller's estimate as the middle and the high value."""
        declared_s = step.estimate_ms / MILLISECONDS_PER_SECOND
        return ExpectedDuration(declared_s, declared_s)

    def slowness(self, node: str) -> float:
        """Return 1 for every worker."""
        return 1.0
