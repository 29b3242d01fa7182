"""The scheduling duty: one entry holds it, plans, and orders through the agents."""

from papayaspar_lead import duty, links, office, workload

__all__ = ["duty", "links", "office", "workload"]
