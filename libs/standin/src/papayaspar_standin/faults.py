"""Faults that a test switches on in a stand-in."""

import attrs


@attrs.define
class LogFaults:
    """Faults of the log service.

    :param down: refuse every call without effect.
    :param slow_s: seconds each call waits before it takes effect.
    :param answer_lost: appends take effect, and their answers never arrive.
    """

    down: bool = False
    slow_s: float = 0.0
    answer_lost: bool = False


@attrs.define
class WorkerFaults:
    """Faults of a worker: its runtime and its target.

    :param fail: every task and every request fails as soon as it starts.
    :param slow_s: seconds each call waits before it takes effect.
    :param hang: requests run, and their answers never arrive.
    :param cut_body: answers of the target end in the middle of the body.
    """

    fail: bool = False
    slow_s: float = 0.0
    hang: bool = False
    cut_body: bool = False
