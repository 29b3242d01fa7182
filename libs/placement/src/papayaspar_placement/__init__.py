"""Choice of workers and accelerators for work."""

from papayaspar_placement import (
    consolidation,
    durations,
    ends,
    entitlements,
    feasibility,
    fleet,
    holds,
    homes,
    policies,
    queues,
    reclaims,
    shape_keeping,
)

__all__ = [
    "consolidation",
    "durations",
    "ends",
    "entitlements",
    "feasibility",
    "fleet",
    "holds",
    "homes",
    "policies",
    "queues",
    "reclaims",
    "shape_keeping",
]
