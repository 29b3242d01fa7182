"""Runs each experiment of the catalog with a fixed seed and checks its bounds."""

import pytest

from papayaspar_bench import bounds, catalog, runner, tables

SEED = 1


@pytest.mark.parametrize("experiment", catalog.EXPERIMENTS, ids=lambda experiment: experiment.name)
def test_an_experiment_meets_its_bounds(experiment):
    result = runner.run(experiment.name, SEED)
    assert result.outcome.violations == ()
    assert result.missed == (), tables.render([result])


def test_every_bound_belongs_to_an_experiment():
    assert set(bounds.load()) <= {experiment.name for experiment in catalog.EXPERIMENTS}
