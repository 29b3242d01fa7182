"""Tests of the command line of papayaspar-bench."""

import json

import cappa
import pytest

from papayaspar_bench import catalog, experiments, runner
from papayaspar_bench_main import main


@pytest.fixture
def invoke():
    """Return a function that runs the program with arguments and returns the exit status."""

    def run(*arguments):
        try:
            cappa.invoke(main.Bench, argv=list(arguments))
        except cappa.Exit as error:
            return error.code
        return 0

    return run


@pytest.fixture
def set_result(monkeypatch):
    """Return a function that sets the figure of every run, which has a lower bound of 1."""

    def set_figure(value):
        outcome = experiments.Outcome("trial", 3, {"kept_ratio": value})
        result = runner.Result(outcome, (experiments.Bound("kept_ratio", at_least=1.0),))
        monkeypatch.setattr(runner, "run", lambda name, seed: result)

    return set_figure


def test_list_prints_every_experiment(invoke, capsys):
    assert invoke("list", "--json") == 0
    summaries = json.loads(capsys.readouterr().out)
    assert [summary["name"] for summary in summaries] == [
        experiment.name for experiment in catalog.EXPERIMENTS
    ]


@pytest.mark.parametrize(("value", "status"), [(1.0, 0), (0.5, 1)])
def test_run_prints_json_and_exits_1_if_a_bound_is_missed(
    invoke, capsys, set_result, value, status
):
    set_result(value)
    assert invoke("run", "trial", "--seed", "3", "--json", "-") == status
    assert json.loads(capsys.readouterr().out)["figures"] == {"kept_ratio": value}


def test_all_exits_1_if_a_bound_is_missed(invoke, capsys, set_result, tmp_path):
    set_result(0.5)
    assert invoke("all", "--plots", str(tmp_path)) == 1
    assert "MISSED" in capsys.readouterr().out


def test_an_unknown_experiment_is_a_usage_error(invoke):
    assert invoke("run", "no-such-experiment") == 2
