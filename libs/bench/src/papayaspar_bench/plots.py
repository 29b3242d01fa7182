"""Plots results; the only module that needs matplotlib."""

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from papayaspar_bench import runner

BAR_HEIGHT_INCHES = 0.3
MARGIN_INCHES = 1.2
WIDTH_INCHES = 11.0
RESOLUTION_DPI = 100


def save(result: runner.Result, folder: pathlib.Path) -> pathlib.Path:
    """Save a bar chart of the figures of one run, with one panel per unit and bounds as marks.

    :param result: result of the run.
    :param folder: folder of the image file; created if it does not exist.
    :return: path of the image file.
    """
    folder.mkdir(parents=True, exist_ok=True)
    names_by_unit = _names_by_unit(result.outcome.figures)
    bar_counts = [len(names) for names in names_by_unit.values()]
    height_inches = sum(bar_counts) * BAR_HEIGHT_INCHES + len(bar_counts) * MARGIN_INCHES
    figure, axes = pyplot.subplots(
        len(names_by_unit),
        1,
        squeeze=False,
        figsize=(WIDTH_INCHES, height_inches),
        height_ratios=bar_counts,
        layout="constrained",
    )
    for axis, (unit, names) in zip(axes[:, 0], names_by_unit.items(), strict=True):
        axis.barh(names, [result.outcome.figures[name] for name in names])
        axis.invert_yaxis()
        axis.set_xlabel(unit)
        for bound in result.bounds:
            if bound.figure not in names:
                continue
            for value in (bound.at_least, bound.at_most):
                if value is not None:
                    axis.plot([value], [bound.figure], marker="|", markersize=14, color="red")
    figure.suptitle(f"{result.outcome.name}, seed {result.outcome.seed}")
    path = folder / f"{result.outcome.name}.png"
    figure.savefig(path, dpi=RESOLUTION_DPI)
    pyplot.close(figure)
    return path


def _names_by_unit(figures: dict[str, float]) -> dict[str, list[str]]:
    names_by_unit: dict[str, list[str]] = {}
    for name in figures:
        names_by_unit.setdefault(name.rsplit("_", 1)[-1], []).append(name)
    return names_by_unit
