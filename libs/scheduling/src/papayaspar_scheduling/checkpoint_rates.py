"""Rate at which the checkpoints of each running task are stored.

Tasks report checkpoints faster than the store takes them. What a loss of all VMs repeats of a task
grows with its resources and with the interval between its stored checkpoints; for a given rate of
the store, the sum over all tasks is least if the intervals are inversely proportional to the square
roots of the resources.
"""

import math

from papayaspar_jobs import specs
from papayaspar_scheduling import stop_costs

# Minimum interval between two stored checkpoints of a task, in seconds: the work that is repeated
# after a loss of all VMs. A worker saves a checkpoint for each half second of work
# (`checkpoint_s`).
INTERVAL_MIN_S = 2.0
# Maximum number of checkpoints stored per second in the whole domain: one append holds as many
# records (`writing.APPEND_BYTES_MAX`), and the store handles several hundred appends per second.
STORED_PER_S = 200.0
# Resources that a task counts as at least, in cores, so that each has a finite interval.
CORES_MIN = 0.1


class CheckpointRates:
    """Shares the rate of the store among the running checkpointed tasks."""

    def __init__(self) -> None:
        self._task_count = 0
        self._total_weight = 0.0

    def add(self, step: specs.Step) -> None:
        """Count a task of a step that begins to run; steps without checkpoints are ignored."""
        if not step.is_checkpointed:
            return
        self._task_count += 1
        self._total_weight += _weight(step)

    def remove(self, step: specs.Step) -> None:
        """Remove a task of a step that runs no longer."""
        if not step.is_checkpointed:
            return
        self._task_count -= 1
        # The sum of thousands of additions and subtractions is not exact.
        self._total_weight = self._total_weight - _weight(step) if self._task_count else 0.0

    def interval_s(self, step: specs.Step) -> float:
        """Return the interval between two stored checkpoints of a task of a step, in seconds."""
        return max(INTERVAL_MIN_S, self._total_weight / (STORED_PER_S * _weight(step)))


def _weight(step: specs.Step) -> float:
    return math.sqrt(max(CORES_MIN, stop_costs.cores(step)))
