"""The reference page of settings, error codes, events and metrics, made from the code."""

import inspect

from papayaspar_agent import settings as agent_settings
from papayaspar_control import settings as control_settings
from papayaspar_entry import settings as entry_settings
from papayaspar_events import lines
from papayaspar_model import errors
from papayaspar_settings import exits, fields, tables

PROGRAMS: tuple[tuple[str, type[fields.Settings]], ...] = (
    ("papayaspar-entry", entry_settings.EntrySettings),
    ("papayaspar-agent", agent_settings.AgentSettings),
    ("papayaspar-ctl", control_settings.ControlSettings),
)
METRICS = (
    ("papayaspar_events_total", "counter", "event, code", "events by kind and error code"),
    (
        "papayaspar_request_duration_seconds",
        "histogram",
        "urgency",
        "time from a request's arrival to its answer",
    ),
    ("papayaspar_state", "gauge", "name", "sizes of the state: workers, slots, revisions, short"),
)
HEADER = """\
# Reference

Made by `papayaspar-bench reference > docs/REFERENCE.md`; a test fails when the code differs.
"""


def page() -> str:
    """Return the whole page as Markdown."""
    parts = [HEADER, "## Settings\n"]
    for name, declared in PROGRAMS:
        parts.append(f"### {name}\n\n{tables.markdown(declared)}")
    parts.append(f"## Exit codes\n\n{_exit_codes()}")
    parts.append(f"## Error codes\n\n{_error_codes()}")
    parts.append(f"## Events\n\n{_events()}")
    parts.append(f"## Metrics\n\n{_metrics()}")
    return "\n".join(parts)


def _exit_codes() -> str:
    rows = ["| code | meaning |", "|---|---|"]
    for code in exits.ExitCode:
        rows.append(f"| {code.value} | {exits.MEANINGS[code]} |")
    return "\n".join(rows) + "\n"


def _error_codes() -> str:
    rows = ["| code | HTTP | meaning |", "|---|---|---|"]
    found = {error.code: error for error in _subclasses(errors.PapayasparError)}
    for code in sorted(found):
        error = found[code]
        meaning = (inspect.getdoc(error) or error.title).splitlines()[0]
        rows.append(f"| `{code}` | {error.status} | {meaning} |")
    return "\n".join(rows) + "\n"


def _events() -> str:
    names = ", ".join(f"`{kind.value}`" for kind in lines.EventKind)
    return f"{names}.\n"


def _metrics() -> str:
    rows = ["| metric | type | labels | meaning |", "|---|---|---|---|"]
    for name, kind, labels, meaning in METRICS:
        rows.append(f"| `{name}` | {kind} | {labels} | {meaning} |")
    return "\n".join(rows) + "\n"


def _subclasses(
    root: type[errors.PapayasparError],
) -> list[type[errors.PapayasparError]]:
    found = [root]
    for child in root.__subclasses__():
        if child.__module__.startswith("papayaspar_"):
            found.extend(_subclasses(child))
    return found
