"""Leadership of a scheduling domain: one entry is elected lead and schedules through the agents."""

from papayaspar_lead import (
    duty,
    election,
    links,
    orders,
    reconciling,
    recording,
    state,
    workload,
)

__all__ = ["duty", "election", "links", "orders", "reconciling", "recording", "state", "workload"]
