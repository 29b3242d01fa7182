"""Leadership of a scheduling domain: one entry is elected lead and sends orders to the agents."""

from papayaspar_lead import (
    election,
    links,
    orders,
    reconciling,
    recording,
    scheduling,
    state,
    workload,
)

__all__ = [
    "election",
    "links",
    "orders",
    "reconciling",
    "recording",
    "scheduling",
    "state",
    "workload",
]
