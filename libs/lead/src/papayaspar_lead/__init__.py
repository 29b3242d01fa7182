"""The scheduling duty: one entry holds it, plans, and orders through the agents."""

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
