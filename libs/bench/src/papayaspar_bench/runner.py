"""Runs experiments and compares their figures with the bounds."""

import json

import attrs

from papayaspar_bench import bounds, catalog, experiments


@attrs.frozen
class Result:
    """One run beside its bounds.

    :param outcome: what the run gave.
    :param bounds: bounds on its figures.
    """

    outcome: experiments.Outcome
    bounds: tuple[experiments.Bound, ...]

    @property
    def missed(self) -> tuple[experiments.Bound, ...]:
        """Bounds that the run missed; a figure that is absent misses its bound."""
        return tuple(bound for bound in self.bounds if not self.is_met(bound))

    @property
    def passed(self) -> bool:
        """Whether no invariant was broken and no bound missed."""
        return not self.outcome.violations and not self.missed

    def is_met(self, bound: experiments.Bound) -> bool:
        """Return whether one bound is met."""
        value = self.outcome.figures.get(bound.figure)
        return value is not None and bound.is_met(value)

    def to_json(self) -> str:
        """Return the result as one JSON document."""
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

    :param name: its name in the catalog.
    :param seed: seed of every random choice.
    :return: figures beside their bounds.
    :raises UnknownExperimentError: there is none of this name.
    """
    experiment = catalog.find(name)
    return Result(experiment.run(seed), bounds.load().get(name, ()))
