"""Placement: which workers and accelerators run which jobs."""

from papayaspar_placement import (
    consolidation,
    durations,
    ends,
    entitlements,
    feasibility,
    fleet,
    homes,
    policies,
    queues,
    reclaims,
    reservations,
    shape_keeping,
)

__all__ = [
    "consolidation",
    "durations",
    "ends",
    "entitlements",
    "feasibility",
    "fleet",
    "homes",
    "policies",
    "queues",
    "reclaims",
    "reservations",
    "shape_keeping",
]
