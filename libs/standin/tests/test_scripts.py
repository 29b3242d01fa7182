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


def test_script_may_show_the_end_of_the_work_before_the_run_ends():
    script = scripts.parse("full-s:1 ends-s:6 slow-members:1")
    other = tasks.TaskKey(TASK.job_id, TASK.occurrence, TASK.step, 0)
    assert not script.covers(1)
    assert script.ends_s == 6.0
    assert [script.full_time_s(key, 6.0) for key in (other, TASK)] == [6.0, 1.0]
