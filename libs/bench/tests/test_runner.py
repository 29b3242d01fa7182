"""Tests of the runner and the tables: bounds, violations and output."""

import json

import pytest

from papayaspar_bench import experiments, runner, tables

BOUNDS = (
    experiments.Bound("kept_ratio", at_least=0.95),
    experiments.Bound("wait_s", at_most=2.0),
)


@pytest.fixture
def make_result():
    def make(violations=(), **figures):
        return runner.Result(experiments.Outcome("trial", 1, figures, violations), BOUNDS)

    return make


def test_a_result_within_its_bounds_passes(make_result):
    result = make_result(kept_ratio=0.95, wait_s=2.0, other=7.0)
    assert result.passed
    assert "MISSED" not in tables.render([result])


def test_a_figure_out_of_bounds_or_absent_misses_its_bound(make_result):
    result = make_result(kept_ratio=0.9)
    assert [bound.figure for bound in result.missed] == ["kept_ratio", "wait_s"]
    assert tables.render([result]).count("MISSED") == 2


def test_a_violation_fails_the_run(make_result):
    result = make_result(("lost a request",), kept_ratio=1.0, wait_s=0.0)
    assert not result.passed
    assert "lost a request" in tables.render([result])


def test_the_json_has_figures_bounds_and_violations(make_result):
    document = json.loads(make_result(("bad",), kept_ratio=1.0, wait_s=3.0).to_json())
    assert list(document) == ["name", "seed", "figures", "bounds", "violations"]
    assert document["bounds"]["wait_s"] == {"at_least": None, "at_most": 2.0, "met": False}


def test_an_unknown_experiment_raises_unknown_experiment_error():
    with pytest.raises(experiments.UnknownExperimentError):
        runner.run("no-such", 1)
