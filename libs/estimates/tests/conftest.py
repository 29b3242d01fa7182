"""Shared fixtures of the tests of estimates."""

import itertools

import pytest

from papayaspar_estimates import run_times


@pytest.fixture
def make_run():
    """Return a function that makes a finished run of one task, or of a gang."""
    numbers = itertools.count(1)

    def make(declared_s, observed_s, nodes=("node",), worked_s=None, **changes):
        number = next(numbers)
        kind = run_times.Kind(
            changes.get("team", "team"), changes.get("queue", "queue"), changes.get("shape", "s")
        )
        members = tuple(
            run_times.MemberRun(node, changes.get("born_ms", 1), own_s)
            for node, own_s in zip(nodes, worked_s or [observed_s] * len(nodes), strict=True)
        )
        return run_times.FinishedRun(
            kind,
            changes.get("step", f"step-{number}"),
            changes.get("identity", number),
            declared_s,
            observed_s,
            members,
        )

    return make
