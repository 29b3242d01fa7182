"""An agent's ledger of slots and accelerators, and gangs whose tasks run under leases.

The ledger (:mod:`papayaspar_slots.ledger`) is the only authority on the slots and accelerators of
one worker. A gang is a group of tasks that run all together or not at all. Its lead
(:mod:`papayaspar_slots.leads`) is the agent of its first task; it grants run leases to the members
(:mod:`papayaspar_slots.members`), whose tasks run only while the lease is valid. Entries launch
gangs through :mod:`papayaspar_slots.launches`.

The lead of a gang is not the lead of a scheduling domain (:mod:`papayaspar_lead`), and a claim on
accelerators is not a claim of an idempotency key (:mod:`papayaspar_dispatch.claims`).
"""

from papayaspar_slots import agents, calls, claims, launches, ledger, messages, peers, timings

__all__ = ["agents", "calls", "claims", "launches", "ledger", "messages", "peers", "timings"]
