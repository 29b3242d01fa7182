"""Runs experiments and compares their figures with the bounds."""

import json

import attrs

from papayaspar_bench import bounds, catalog, experiments


@attrs.frozen
class Result:
    """The outcome of one run and the bounds on its figures.

    :param outcome: figures and violations of the run.
    :param bounds: bounds on the figures.
    """

    outcome: experiments.Outcome
    bounds: tuple[experiments.Bound, ...]

    @property
    def missed(self) -> tuple[experiments.Bound, ...]:
        """Bounds that the run did not meet; an absent figure does not meet its bound."""
        return tuple(bound for bound in self.bounds if not self.is_met(bound))

    @property
    def passed(self) -> bool:
        """Whether the run violated no invariant and met every bound."""
        return not self.outcome.violations and not self.missed

    def is_met(self, bound: experiments.Bound) -> bool:
        """Return whether the figures meet a bound."""
        value = self.outcome.figures.get(bound.figure)
        return value is not None and bound.is_met(value)

    def to_json(self) -> str:
        """Return the result as a JSON document."""
        document = {
            "name": self.outcome.name,
            "seed": self.outcome.seed,
            "figures": self.outcome.figures,
            "bounds": {bound.figure: self._bound_fields(bound) for bound in self.bounds},
            "violations": list(self.outcome.violations),
        }
        return json.dumps(document, indent=2)

    def _bound_fields(self, bound: experiments.Bound) -> dict[str, float | bool | None]:
        return {
            "at_least": bound.at_least,
            "at_most": bound.at_most,
            "met": self.is_met(bound),
        }


def run(name: str, seed: int) -> Result:
    """Run one experiment.

    :param name: name of the experiment in the catalog.
    :param seed: seed of every random choice.
    :return: outcome of the run and the bounds on its figures.
    :raises UnknownExperimentError: if the catalog has no experiment of this name.
    """
    experiment = catalog.find(name)
    return Result(experiment.run(seed), bounds.load().get(name, ()))
