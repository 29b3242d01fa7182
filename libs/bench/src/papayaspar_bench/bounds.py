"""The committed bounds of all experiments."""

import importlib.resources
import json

from papayaspar_bench import experiments

FILE_NAME = "bounds.json"


def load() -> dict[str, tuple[experiments.Bound, ...]]:
    """Load the bounds file of this package.

    :return: bounds by experiment name.
    """
    text = importlib.resources.files("papayaspar_bench").joinpath(FILE_NAME).read_text("utf-8")
    bounds_by_experiment: dict[str, tuple[experiments.Bound, ...]] = {}
    for name, bounds in json.loads(text).items():
        bounds_by_experiment[name] = tuple(experiments.Bound(**bound) for bound in bounds)
    return bounds_by_experiment
