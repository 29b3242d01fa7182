"""The base class of experiments and what one returns."""

import abc

import attrs

from papayaspar_model import errors


class UnknownExperimentError(errors.NotFoundError):
    """The catalog has no experiment of this name."""

    code = "unknown_experiment"
    title = "There is no such experiment"


@attrs.frozen
class Bound:
    """A bound on one figure, from a stated target and never from a measurement.

    :param figure: name of the figure.
    :param at_least: smallest allowed value, or ``None``.
    :param at_most: largest allowed value, or ``None``.
    """

    figure: str
    at_least: float | None = None
    at_most: float | None = None

    def is_met(self, value: float) -> bool:
        """Return whether a value lies within the bound."""
        if self.at_least is not None and value < self.at_least:
            return False
        return self.at_most is None or value <= self.at_most


@attrs.frozen
class Outcome:
    """What one run of an experiment gave.

    :param name: name of the experiment.
    :param seed: seed of the run.
    :param figures: measured values by name; names end in their unit.
    :param violations: broken invariants, one sentence each.
    """

    name: str
    seed: int
    figures: dict[str, float]
    violations: tuple[str, ...] = ()


class Experiment(abc.ABC):
    """One experiment; the same seed gives the same outcome when time is virtual."""

    name: str
    summary: str

    @abc.abstractmethod
    def run(self, seed: int) -> Outcome:
        """Run once.

        :param seed: seed of every random choice.
        :return: figures and violations.
        """
