"""Load and experiments over the decision classes, with seeds, in virtual time."""

from papayaspar_bench import experiments

__all__ = ["experiments"]
