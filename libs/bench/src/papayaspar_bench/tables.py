"""Renders results as a plain-text table."""

from collections.abc import Iterable

import attrs

from papayaspar_bench import experiments, runner

COLUMN_SEPARATOR = "  "


@attrs.frozen
class Row:
    """One row of the table; all fields are formatted text."""

    experiment: str
    figure: str
    value: str
    bound: str
    verdict: str


HEADER = Row("experiment", "figure", "value", "bound", "verdict")


def render(results: Iterable[runner.Result]) -> str:
    """Return a table of the figures, bounds and violations of all results.

    :param results: results to render.
    """
    rows = [HEADER]
    for result in results:
        rows.extend(_result_rows(result))
    widths = [max(map(len, column)) for column in zip(*map(attrs.astuple, rows), strict=True)]
    lines = []
    for row in rows:
        cells = zip(attrs.astuple(row), widths, strict=True)
        lines.append(COLUMN_SEPARATOR.join(cell.ljust(width) for cell, width in cells).rstrip())
    return "\n".join(lines)


def _result_rows(result: runner.Result) -> list[Row]:
    outcome = result.outcome
    bounds = {bound.figure: bound for bound in result.bounds}
    rows = []
    for figure, value in outcome.figures.items():
        bound = bounds.pop(figure, None)
        if bound is None:
            rows.append(Row(outcome.name, figure, f"{value:.4g}", "", ""))
            continue
        verdict = "met" if result.is_met(bound) else "MISSED"
        rows.append(Row(outcome.name, figure, f"{value:.4g}", _bound_text(bound), verdict))
    for bound in bounds.values():
        rows.append(Row(outcome.name, bound.figure, "absent", _bound_text(bound), "MISSED"))
    for violation in outcome.violations:
        rows.append(Row(outcome.name, violation, "", "", "VIOLATED"))
    return rows


def _bound_text(bound: experiments.Bound) -> str:
    parts = []
    if bound.at_least is not None:
        parts.append(f">= {bound.at_least:g}")
    if bound.at_most is not None:
        parts.append(f"<= {bound.at_most:g}")
    return " and ".join(parts)
