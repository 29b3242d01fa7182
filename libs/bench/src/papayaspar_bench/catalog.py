"""The catalog of all experiments."""

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

# These run in virtual time: the same seed gives the same figures, so every run checks the bounds.
EXPERIMENTS: tuple[experiments.Experiment, ...] = (
    flood.Flood(),
    callers.Callers(),
    guarantees.Guarantees(),
    fragmentation.Fragmentation(),
    outage.Outage(),
    detection.Detection(),
)
# These run in real time: their figures depend on the machine, so they have no bounds.
TIMED_EXPERIMENTS: tuple[experiments.Experiment, ...] = (
    overhead.Overhead(),
    capacity.Capacity(),
)


def find(name: str) -> experiments.Experiment:
    """Return an experiment by name.

    :param name: name of the experiment.
    :raises UnknownExperimentError: if the catalog has no experiment of this name.
    """
    for experiment in (*EXPERIMENTS, *TIMED_EXPERIMENTS):
        if experiment.name == name:
            return experiment
    raise experiments.UnknownExperimentError(
        f"the catalog has no experiment named {name}", field="name"
    )
