"""Scripted ends of runs."""

import pytest

from papayaspar_jobs import tasks
from papayaspar_standin import scripts

TASK = tasks.TaskKey("a", 0, 0, 2)


def test_script_names_runs_times_and_members():
    script = scripts.parse("fail-runs:1,3 after-s:0.8 gap-s:0.5 failing-members:2")
    assert [run for run in range(1, 5) if script.covers(run)] == [1, 3]
    assert script.run_time_s(TASK) == pytest.approx(1.8)
    assert script.end_kind(TASK) is tasks.EndKind.BROKEN


def test_script_may_cover_all_runs_and_all_members():
    script = scripts.parse("fail-runs:all")
    assert script.covers(1)
    assert script.covers(99)
    assert script.run_time_s(TASK) == scripts.AFTER_S
    assert script.end_kind(TASK) is tasks.EndKind.FAILED


@pytest.mark.parametrize("spec", ["", "(text)", "a fail-runs:1"])
def test_other_texts_end_no_run_early(spec):
    assert not scripts.parse(spec).covers(1)
