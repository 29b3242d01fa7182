"""A timeline that merges the events of all processes.

Events are ordered by their hybrid logical clock stamps, which preserve causality: each message
carries its sender's stamp, and the receiver advances its clock past it. Causally unrelated events
are ordered by the wall clocks of their processes, so their order is only as accurate as the clocks.
"""

import datetime
import heapq
from collections.abc import Iterable

import attrs

from papayaspar_events import lines
from papayaspar_model import causality


@attrs.frozen
class Filter:
    """Selects events by their fields; an empty field selects all events.

    :param job: identifier of the job.
    :param request: identifier of the request.
    :param team: name of the team.
    :param worker: name of the worker.
    """

    job: str = ""
    request: str = ""
    team: str = ""
    worker: str = ""

    def matches(self, event: lines.Event) -> bool:
        """Return whether the filter selects an event."""
        for name in ("job", "request", "team", "worker"):
            expected = getattr(self, name)
            if expected and getattr(event, name) != expected:
                return False
        return True


def parse(text_lines: Iterable[str]) -> list[lines.Event]:
    """Return the events on log lines, without other lines."""
    events = []
    for line in text_lines:
        try:
            events.append(lines.from_line(line))
        except lines.EventLineError:
            # Logs also contain other lines: tracebacks, and output of libraries.
            continue
    return events


def merge(sources: Iterable[Iterable[lines.Event]], event_filter: Filter) -> list[lines.Event]:
    """Merge the selected events of all sources, without duplicates.

    :param sources: events of each process or file.
    :param event_filter: filter that selects the events.
    :return: the events ordered by stamp, then process.
    """
    ordered = [sorted(source, key=_sort_key) for source in sources]
    merged: list[lines.Event] = []
    for event in heapq.merge(*ordered, key=_sort_key):
        if merged and merged[-1] == event:
            continue
        if event_filter.matches(event):
            merged.append(event)
    return merged


def render(event: lines.Event) -> str:
    """Format an event for people: time of day, kind, then the other fields."""
    wall = datetime.datetime.fromtimestamp(causality.stamp_wall_s(event.stamp), datetime.UTC)
    time_text = wall.strftime("%H:%M:%S.%f")[:-3]
    rest = lines.to_line(event).split(" ", 2)[2]
    return f"{time_text} {event.kind.value:<19} {rest}"


def _sort_key(event: lines.Event) -> tuple[int, str]:
    return event.stamp, event.process
