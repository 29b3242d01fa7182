"""Load and experiments over the decision classes, with seeds, in virtual time.

Experiments are listed in :mod:`papayaspar_bench.catalog`; their bounds are in ``bounds.json``.
"""

from papayaspar_bench import catalog, experiments, runner, tables

__all__ = ["catalog", "experiments", "runner", "tables"]
