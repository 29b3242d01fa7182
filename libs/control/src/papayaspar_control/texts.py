"""Texts for a person, made of an entry's answers."""

import datetime
from collections.abc import Sequence

from papayaspar_control import answers
from papayaspar_rules import rule_tables

COLUMN_GAP = "  "


def rules(in_force: answers.RulesInForce) -> str:
    """Return the rules under a comment line, so that the text is a rules file too."""
    return f"# revision {in_force.revision} {in_force.publish_id}\n{in_force.text}"


def changes(found: Sequence[rule_tables.Change]) -> str:
    """Return the lines that go, marked ``-``, and those that come, marked ``+``."""
    lines: list[str] = []
    for change in found:
        if change.before is not None:
            lines.append(f"- {change.before}\n")
        if change.after is not None:
            lines.append(f"+ {change.after}\n")
    return "".join(lines)


def history(found: answers.History) -> str:
    """Return a table of revisions, newest first."""
    rows = [("revision", "parent", "published", "author", "publish id")]
    for revision in sorted(found.revisions, key=lambda item: item.revision, reverse=True):
        rows.append(
            (
                str(revision.revision),
                str(revision.parent),
                _instant(revision.published_wall_s),
                revision.author,
                revision.publish_id,
            )
        )
    return _table(rows)


def status(found: answers.Status) -> str:
    """Return the workers as a table, and the guarantees that are short."""
    rows = [("worker", "rack", "data centre", "state", "slots", "accelerators")]
    for worker in found.workers:
        held = worker.accelerators - worker.free_accelerators
        rows.append(
            (
                worker.worker,
                worker.rack,
                worker.data_centre,
                worker.state,
                f"{worker.busy_slots}/{worker.slots}",
                f"{held}/{worker.accelerators}",
            )
        )
    lines = [f"{found.process} goes by revision {found.revision}\n", _table(rows)]
    for short in found.short_guarantees:
        lines.append(f"short: guarantee {short.guarantee}, instance {short.instance}\n")
    return "".join(lines)


def job(fields: Sequence[answers.JobField]) -> str:
    """Return one line for each field of a job."""
    return "".join(f"{field.name}: {field.value}\n" for field in fields)


def _instant(wall_s: float) -> str:
    try:
        instant = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return "unknown"
    return instant.strftime("%Y-%m-%dT%H:%M:%SZ")


def _table(rows: Sequence[tuple[str, ...]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines: list[str] = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append(COLUMN_GAP.join(cells).rstrip() + "\n")
    return "".join(lines)
