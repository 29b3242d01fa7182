"""State that the parts of the scheduler share."""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVarTuple

import anyio.abc
import attrs

from papayaspar_events import journal
from papayaspar_lead import links, workload
from papayaspar_model import clock, signals
from papayaspar_store import views

Arguments = TypeVarTuple("Arguments")


class TaskSpawner:
    """Start asynchronous tasks in the scheduler's task group; they are cancelled with it."""

    def __init__(self) -> None:
        self._group: anyio.abc.TaskGroup | None = None

    def set_group(self, group: anyio.abc.TaskGroup) -> None:
        """Set the group in which asynchronous tasks are started."""
        self._group = group

    def start(
        self,
        function: Callable[[*Arguments], Coroutine[Any, Any, object]],
        *arguments: *Arguments,
    ) -> None:
        """Start an asynchronous task; calls before :meth:`set_group` are ignored."""
        if self._group is not None:
            self._group.start_soon(function, *arguments)


@attrs.define
class SchedulerState:
    """State of the scheduler.

    :param work: the unfinished jobs.
    :param links: links to agents by VM.
    :param view: in-memory view of the shared partition.
    :param clock: the lead's clock.
    :param events: journal of decisions.
    :param spawner: starts asynchronous tasks that are cancelled with the scheduler.
    :param changes: signal that triggers planning.
    :param is_stopped: whether no more orders may be sent.
    """

    work: workload.Workload
    links: dict[str, links.AgentLink]
    view: views.SharedView
    clock: clock.Clock
    events: journal.Journal
    spawner: TaskSpawner = attrs.field(factory=TaskSpawner)
    changes: signals.ChangeSignal = attrs.field(factory=signals.ChangeSignal)
    is_stopped: bool = False
