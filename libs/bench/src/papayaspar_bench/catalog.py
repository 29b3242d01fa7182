"""All experiments, one line each."""

from papayaspar_bench import (
    callers,
    capacity,
    detection,
    experiments,
    flood,
    fragmentation,
    guarantees,
    outage,
    overhead,
)

# In virtual time: the same seed gives the same figures, so bounds are checked on every run.
EXPERIMENTS: tuple[experiments.Experiment, ...] = (
    flood.Flood(),
    callers.Callers(),
    guarantees.Guarantees(),
    fragmentation.Fragmentation(),
    outage.Outage(),
    detection.Detection(),
)
# In real time: the figures are those of the machine, and no verdict hangs on them.
TIMED_EXPERIMENTS: tuple[experiments.Experiment, ...] = (
    overhead.Overhead(),
    capacity.Capacity(),
)


def find(name: str) -> experiments.Experiment:
    """Return an experiment by name.

    :param name: its name.
    :raises UnknownExperimentError: there is none of this name.
    """
    for experiment in (*EXPERIMENTS, *TIMED_EXPERIMENTS):
        if experiment.name == name:
            return experiment
    raise experiments.UnknownExperimentError(f"no experiment {name}", field="name")
