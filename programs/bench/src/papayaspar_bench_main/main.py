"""The command line of ``papayaspar-bench``."""

import json
import pathlib
import sys
from importlib import metadata
from typing import Annotated

import attrs
import cappa

from papayaspar_bench import catalog, experiments, runner, tables

DISTRIBUTION = "papayaspar-bench"
STANDARD_OUTPUT = "-"
DEFAULT_SEED = 1
PLOTS_FOLDER = "plots"
EXIT_FAILED = 1
EXIT_USAGE = 2


@cappa.command(name="list", help="List the experiments.")
@attrs.define
class ListCommand:
    """Lists the experiments.

    :param json: whether to print JSON.
    """

    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def __call__(self) -> None:
        """Print name and summary of each experiment."""
        if self.json:
            summaries = [
                {"name": experiment.name, "summary": experiment.summary}
                for experiment in catalog.EXPERIMENTS
            ]
            print(json.dumps(summaries, indent=2))
            return
        for experiment in catalog.EXPERIMENTS:
            print(f"{experiment.name}: {experiment.summary}")


@cappa.command(name="run", help="Run one experiment; exit 1 on a missed bound or a violation.")
@attrs.define
class RunCommand:
    """Runs one experiment.

    :param name: name of the experiment.
    :param seed: seed of the random generators.
    :param json: file for the result as JSON, ``-`` for standard output, or ``None`` for a table.
    """

    name: Annotated[str, cappa.Arg(help="Name of the experiment.")]
    seed: Annotated[int, cappa.Arg(long="--seed", help="Seed of the random generators.")] = (
        DEFAULT_SEED
    )
    json: Annotated[
        str | None, cappa.Arg(long="--json", help="File for the JSON, or - for standard output.")
    ] = None

    def __call__(self) -> None:
        """Run the experiment, print the result and set the exit status."""
        try:
            result = runner.run(self.name, self.seed)
        except experiments.UnknownExperimentError as error:
            raise cappa.Exit(error.detail, code=EXIT_USAGE) from error
        self._print(result)
        if not result.passed:
            raise cappa.Exit(code=EXIT_FAILED)

    def _print(self, result: runner.Result) -> None:
        if self.json is None:
            print(tables.render([result]))
            return
        if self.json == STANDARD_OUTPUT:
            print(result.to_json())
            return
        pathlib.Path(self.json).write_text(result.to_json() + "\n", "utf-8")


@cappa.command(name="all", help="Run all experiments; exit 1 on a missed bound or a violation.")
@attrs.define
class AllCommand:
    """Runs all experiments with one seed, prints one table and draws a plot of each.

    :param seed: seed of the random generators.
    :param plots: folder for the plots.
    """

    seed: Annotated[int, cappa.Arg(long="--seed", help="Seed of the random generators.")] = (
        DEFAULT_SEED
    )
    plots: Annotated[str, cappa.Arg(long="--plots", help="Folder for plots.")] = PLOTS_FOLDER

    def __call__(self) -> None:
        """Run the experiments, print and plot the results, and set the exit status."""
        results = [runner.run(experiment.name, self.seed) for experiment in catalog.EXPERIMENTS]
        print(tables.render(results))
        self._save_plots(results)
        if not all(result.passed for result in results):
            raise cappa.Exit(code=EXIT_FAILED)

    def _save_plots(self, results: list[runner.Result]) -> None:
        try:
            from papayaspar_bench import plots
        except ImportError:
            print("no plots saved: matplotlib is not installed", file=sys.stderr)
            return
        for result in results:
            plots.save(result, pathlib.Path(self.plots))


@cappa.command(name="reference", help="Print the reference page as Markdown.")
@attrs.define
class ReferenceCommand:
    """Prints docs/REFERENCE.md, generated from the code."""

    def __call__(self) -> None:
        """Print the page."""
        from papayaspar_bench import reference

        print(reference.page(), end="")


@cappa.command(
    name="papayaspar-bench", help="Run experiments on the scheduler and check their bounds."
)
@attrs.define
class Bench:
    """The top-level command.

    :param command: subcommand to run.
    """

    command: cappa.Subcommands[ListCommand | RunCommand | AllCommand | ReferenceCommand]


def main() -> None:
    """Run the program."""
    cappa.invoke(Bench, version=metadata.version(DISTRIBUTION))


if __name__ == "__main__":
    main()
