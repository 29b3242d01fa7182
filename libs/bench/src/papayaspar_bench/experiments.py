"""The base class of experiments, their outcomes and the bounds on their figures."""

import abc

import attrs

from papayaspar_model import errors


class UnknownExperimentError(errors.NotFoundError):
    """The catalog has no experiment of this name."""

    code = "unknown_experiment"
    title = "There is no such experiment"


@attrs.frozen
class Bound:
    """A bound on one figure. Bounds come from a stated target, never from a measurement.

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
    """The figures and violated invariants of one run of an experiment.

    :param name: name of the experiment.
    :param seed: seed of the run.
    :param figures: measured values by name; names end in their unit.
    :param violations: descriptions of the invariants that the run violated.
    """

    name: str
    seed: int
    figures: dict[str, float]
    violations: tuple[str, ...] = ()


class Experiment(abc.ABC):
    """An experiment. In virtual time, the same seed gives the same outcome."""

    name: str
    summary: str

    @abc.abstractmethod
    def run(self, seed: int) -> Outcome:
        """Run the experiment once.

        :param seed: seed of every random choice.
        :return: figures and violations of the run.
        """
