"""One time line of events merged over all processes.

Events are ordered by their hybrid stamps, which never contradict cause and effect: a message
carries its sender's stamp and its receiver goes on from there. Between events that have nothing to
do with each other the order is that of the processes' wall clocks, so it is off by as much as the
clocks disagree.
"""

import datetime
import heapq
from collections.abc import Iterable

import attrs

from papayaspar_events import lines
from papayaspar_model import causality


@attrs.frozen
class Filter:
    """Which events are wanted; an empty field wants all.

    :param job: job.
    :param request: request.
    :param team: team.
    :param worker: worker.
    """

    job: str = ""
    request: str = ""
    team: str = ""
    worker: str = ""

    def wants(self, event: lines.Event) -> bool:
        """Return whether an event passes."""
        for name in ("job", "request", "team", "worker"):
            wanted = getattr(self, name)
            if wanted and getattr(event, name) != wanted:
                return False
        return True


def parse(text_lines: Iterable[str]) -> list[lines.Event]:
    """Return the events among log lines; other lines are passed over."""
    events = []
    for line in text_lines:
        try:
            events.append(lines.from_line(line))
        except lines.EventLineError:
            # Logs hold other lines too: tracebacks, and what libraries print.
            continue
    return events


def merge(sources: Iterable[Iterable[lines.Event]], wanted: Filter) -> list[lines.Event]:
    """Return the wanted events of all sources in one order, each once.

    :param sources: events of each process or file.
    :param wanted: the filter.
    :return: events by stamp, then process.
    """
    ordered = [sorted(source, key=_order) for source in sources]
    merged: list[lines.Event] = []
    for event in heapq.merge(*ordered, key=_order):
        if merged and merged[-1] == event:
            continue
        if wanted.wants(event):
            merged.append(event)
    return merged


def render(event: lines.Event) -> str:
    """Return an event as a line for a person: time of day first, then what happened."""
    wall = datetime.datetime.fromtimestamp(causality.stamp_wall_s(event.stamp), datetime.UTC)
    clock_text = wall.strftime("%H:%M:%S.%f")[:-3]
    rest = lines.to_line(event).split(" ", 2)[2]
    return f"{clock_text} {event.kind.value:<19} {rest}"


def _order(event: lines.Event) -> tuple[int, str]:
    return event.stamp, event.process
