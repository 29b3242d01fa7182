"""What the parts of the scheduling duty share while it is held."""

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
    """The tasks of the duty, which end with it."""

    def __init__(self) -> None:
        self._group: anyio.abc.TaskGroup | None = None

    def join(self, group: anyio.abc.TaskGroup) -> None:
        """Start tasks in a group from now on."""
        self._group = group

    def start(
        self,
        function: Callable[[*Arguments], Coroutine[Any, Any, object]],
        *arguments: *Arguments,
    ) -> None:
        """Start a task; before the duty runs there is nothing to start."""
        if self._group is not None:
            self._group.start_soon(function, *arguments)


@attrs.define
class DutyState:
    """State of the duty.

    :param work: the unfinished jobs.
    :param links: streams to agents by machine.
    :param view: the shared partition.
    :param clock: the lead's clock.
    :param events: where decisions are recorded.
    :param spawner: the duty's tasks.
    :param changes: wakes the planning.
    :param is_over: whether nothing may be ordered any more.
    """

    work: workload.Workload
    links: dict[str, links.AgentLink]
    view: views.SharedView
    clock: clock.Clock
    events: journal.Journal
    spawner: TaskSpawner = attrs.field(factory=TaskSpawner)
    changes: signals.ChangeSignal = attrs.field(factory=signals.ChangeSignal)
    is_over: bool = False
