"""Tests of plots; skipped if matplotlib is not installed."""

import pytest

from papayaspar_bench import experiments, runner


def test_a_plot_shows_figures_and_bounds(tmp_path):
    pytest.importorskip("matplotlib")
    from papayaspar_bench import plots

    outcome = experiments.Outcome("trial", 1, {"kept_ratio": 0.9, "wait_s": 1.5})
    bounds = (experiments.Bound("kept_ratio", at_least=0.95), experiments.Bound("absent", 1.0))
    path = plots.save(runner.Result(outcome, bounds), tmp_path / "plots")
    assert path.name == "trial.png"
    assert path.stat().st_size > 0
