"""The committed bounds of all experiments."""

import importlib.resources
import json

from papayaspar_bench import experiments

FILE_NAME = "bounds.json"


def load() -> dict[str, tuple[experiments.Bound, ...]]:
    """Read the committed file.

    :return: bounds by name of the experiment.
    """
    text = importlib.resources.files("papayaspar_bench").joinpath(FILE_NAME).read_text("utf-8")
    found: dict[str, tuple[experiments.Bound, ...]] = {}
    for name, items in json.loads(text).items():
        found[name] = tuple(experiments.Bound(**item) for item in items)
    return found
