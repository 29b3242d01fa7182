"""The scheduling duty: one entry holds it, plans, and orders through the agents."""

from papayaspar_lead import (
    duty,
    links,
    office,
    orders,
    recording,
    state,
    tending,
    workload,
)

__all__ = ["duty", "links", "office", "orders", "recording", "state", "tending", "workload"]
