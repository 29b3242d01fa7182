"""Generates the reference page of settings, error codes, events and metrics from the code."""

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
    (
        "papayaspar_stage_duration_seconds",
        "histogram",
        "stage",
        "duration of planning rounds and of the stages of a unit's start: seen, room, stops,"
        " stored, answered",
    ),
    ("papayaspar_stops_total", "counter", "cause", "units that the lead stopped"),
    (
        "papayaspar_stopped_work_core_seconds_total",
        "counter",
        "cause",
        "work that the stops threw away; an accelerator counts as 8 cores",
    ),
    (
        "papayaspar_gained_work_core_seconds_total",
        "counter",
        "cause",
        "work that ends in time, or at all, since other work was stopped",
    ),
    (
        "papayaspar_data_centre_state",
        "gauge",
        "name, data_centre",
        "evacuated: 1 while an evacuation is requested; evacuated_workers, evacuated_tasks: its"
        " workers and the tasks that still run there",
    ),
    (
        "papayaspar_state",
        "gauge",
        "name",
        "sizes of the state: workers, slots, revisions, short;"
        " connections and bytes of incomplete requests of each listener",
    ),
)
HEADER = """\
# Reference

Made by `papayaspar-bench reference > docs/REFERENCE.md`; a test fails when the code differs.
"""


def page() -> str:
    """Return the reference page as Markdown."""
    sections = [HEADER, "## Settings\n"]
    for name, settings_class in PROGRAMS:
        sections.append(f"### {name}\n\n{tables.markdown(settings_class)}")
    sections.append(f"## Exit codes\n\n{_exit_codes()}")
    sections.append(f"## Error codes\n\n{_error_codes()}")
    sections.append(f"## Events\n\n{_events()}")
    sections.append(f"## Metrics\n\n{_metrics()}")
    return "\n".join(sections)


def _exit_codes() -> str:
    rows = ["| code | meaning |", "|---|---|"]
    for code in exits.ExitCode:
        rows.append(f"| {code.value} | {exits.MEANINGS[code]} |")
    return "\n".join(rows) + "\n"


def _error_codes() -> str:
    rows = ["| code | HTTP | meaning |", "|---|---|---|"]
    errors_by_code = {error.code: error for error in _subclasses(errors.PapayasparError)}
    for code in sorted(errors_by_code):
        error = errors_by_code[code]
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
    subclasses = [root]
    for subclass in root.__subclasses__():
        if subclass.__module__.startswith("papayaspar_"):
            subclasses.extend(_subclasses(subclass))
    return subclasses
