"""All experiments, one line each."""

from papayaspar_bench import (
    callers,
    detection,
    experiments,
    flood,
    fragmentation,
    guarantees,
    outage,
)

EXPERIMENTS: tuple[experiments.Experiment, ...] = (
    flood.Flood(),
    callers.Callers(),
    guarantees.Guarantees(),
    fragmentation.Fragmentation(),
    outage.Outage(),
    detection.Detection(),
)


def find(name: str) -> experiments.Experiment:
    """Return an experiment by name.

    :param name: its name.
    :raises UnknownExperimentError: there is none of this name.
    """
    for experiment in EXPERIMENTS:
        if experiment.name == name:
            return experiment
    raise experiments.UnknownExperimentError(f"no experiment {name}", field="name")
