"""Faults that a test injects into a stand-in."""

import attrs


@attrs.define
class LogFaults:
    """Faults of the log service.

    :param down: every call is rejected without effect.
    :param slow_s: delay before each call takes effect, in seconds.
    :param answer_lost: appends take effect, but their responses never arrive.
    """

    down: bool = False
    slow_s: float = 0.0
    answer_lost: bool = False


@attrs.define
class WorkerFaults:
    """Faults of a worker's runtime and target.

    :param fail: every task and request fails as soon as it starts, and no checkpoint is saved.
    :param slow_s: delay before each call takes effect, in seconds.
    :param hang: requests run, but their responses never arrive.
    :param cut_body: responses of the target end in the middle of the body.
    """

    fail: bool = False
    slow_s: float = 0.0
    hang: bool = False
    cut_body: bool = False
