"""Formatting of an entry's responses for people."""

import datetime
from collections.abc import Sequence

from papayaspar_control import answers
from papayaspar_rules import rule_tables

COLUMN_GAP = "  "


def format_rules(in_force: answers.RulesInForce) -> str:
    """Format rules as a rules file that starts with a comment line."""
    return f"# revision {in_force.revision} {in_force.publish_id}\n{in_force.text}"


def format_changes(differing_rules: Sequence[rule_tables.Change]) -> str:
    """Format changes as removed lines, marked ``-``, and added lines, marked ``+``."""
    lines: list[str] = []
    for change in differing_rules:
        if change.before is not None:
            lines.append(f"- {change.before}\n")
        if change.after is not None:
            lines.append(f"+ {change.after}\n")
    return "".join(lines)


def format_history(response: answers.History) -> str:
    """Format revisions as a table, newest first."""
    rows = [("revision", "parent", "published", "author", "publish id")]
    for revision in sorted(
        response.revisions, key=lambda revision: revision.revision, reverse=True
    ):
        rows.append(
            (
                str(revision.revision),
                str(revision.parent),
                _format_time(revision.published_wall_s),
                revision.author,
                revision.publish_id,
            )
        )
    return _format_table(rows)


def format_status(response: answers.Status) -> str:
    """Format the workers as a table, followed by the guarantees that are short."""
    rows = [("worker", "rack", "data centre", "state", "slots", "accelerators")]
    for worker in response.workers:
        held_accelerators = worker.accelerators - worker.free_accelerators
        rows.append(
            (
                worker.worker,
                worker.rack,
                worker.data_centre,
                worker.state,
                f"{worker.busy_slots}/{worker.slots}",
                f"{held_accelerators}/{worker.accelerators}",
            )
        )
    lines = [
        f"{response.process} uses revision {response.revision} of the rules\n",
        _format_table(rows),
    ]
    for short_guarantee in response.short_guarantees:
        lines.append(
            f"short: guarantee {short_guarantee.guarantee}, instance {short_guarantee.instance}\n"
        )
    return "".join(lines)


def format_job(fields: Sequence[answers.JobField]) -> str:
    """Format a job as one line for each field."""
    return "".join(f"{field.name}: {field.value}\n" for field in fields)


def _format_time(wall_s: float) -> str:
    try:
        time = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return "unknown"
    return time.strftime("%Y-%m-%dT%H:%M:%SZ")


def _format_table(rows: Sequence[tuple[str, ...]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines: list[str] = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append(COLUMN_GAP.join(cells).rstrip() + "\n")
    return "".join(lines)
