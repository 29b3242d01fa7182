"""Benchmarks of the admission, dispatch, membership and placement classes.

The experiments simulate seeded loads, most of them in virtual time. They are listed in
:mod:`papayaspar_bench.catalog`; the bounds on their figures are in ``bounds.json``.
"""

from papayaspar_bench import catalog, experiments, runner, tables

__all__ = ["catalog", "experiments", "runner", "tables"]
