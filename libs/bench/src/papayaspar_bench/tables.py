"""Results as one plain table."""

from collections.abc import Iterable

import attrs

from papayaspar_bench import experiments, runner

GAP = "  "


@attrs.frozen
class Row:
    """One line of the table; all fields are text as shown."""

    experiment: str
    figure: str
    value: str
    bound: str
    verdict: str


HEADER = Row("experiment", "figure", "value", "bound", "verdict")


def render(results: Iterable[runner.Result]) -> str:
    """Return one table of all figures, bounds and violations.

    :param results: the runs to show.
    """
    rows = [HEADER]
    for result in results:
        rows.extend(_rows(result))
    widths = [max(map(len, column)) for column in zip(*map(attrs.astuple, rows), strict=True)]
    lines = []
    for row in rows:
        cells = zip(attrs.astuple(row), widths, strict=True)
        lines.append(GAP.join(cell.ljust(width) for cell, width in cells).rstrip())
    return "\n".join(lines)


def _rows(result: runner.Result) -> list[Row]:
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
