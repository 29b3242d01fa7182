"""Placement: which workers and accelerators run which jobs."""

from papayaspar_placement import (
    completions,
    consolidation,
    entitlements,
    feasibility,
    fleet,
    homes,
    policies,
    preemptions,
    queues,
    reservations,
    shape_keeping,
)

__all__ = [
    "completions",
    "consolidation",
    "entitlements",
    "feasibility",
    "fleet",
    "homes",
    "policies",
    "preemptions",
    "queues",
    "reservations",
    "shape_keeping",
]
