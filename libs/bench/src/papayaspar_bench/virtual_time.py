"""Runs tasks in virtual time, the same way for the same seed."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
import trio.testing
from trio._core import _run as scheduler

Result = TypeVar("Result")


def run(simulate: Callable[[], Awaitable[Result]], seed: str) -> Result:
    """Run a simulation.

    trio shuffles tasks that are due together, so that nothing comes to rest on their order. Its
    generator is seeded here, as its testing tools do, since a seed has to give one outcome.

    :param simulate: the simulation.
    :param seed: seed of the order of tasks.
    :return: what it returns.
    """
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(seed)
    return trio.run(simulate, clock=trio.testing.MockClock(autojump_threshold=0))
