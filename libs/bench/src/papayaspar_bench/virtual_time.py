"""Runs simulations in virtual time, reproducibly for a given seed."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
import trio.testing
from trio._core import _run as scheduler

Result = TypeVar("Result")


def run(simulate: Callable[[], Awaitable[Result]], seed: str) -> Result:
    """Run a simulation in virtual time.

    trio runs tasks that are ready at the same time in random order, so that programs don't depend
    on the order. Its random generator is seeded here, as trio's own testing tools do, because the
    same seed has to give the same outcome.

    :param simulate: the simulation.
    :param seed: seed of the order in which ready tasks run.
    :return: return value of the simulation.
    """
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(seed)
    return trio.run(simulate, clock=trio.testing.MockClock(autojump_threshold=0))
