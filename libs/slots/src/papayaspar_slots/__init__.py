"""An agent's ledger of slots and accelerators, and the gangs that run under go-leases.

The ledger (:mod:`papayaspar_slots.ledger`) is the only authority on one worker. A gang is held
together by its lead (:mod:`papayaspar_slots.leads`), the agent of its first task, and by its
members (:mod:`papayaspar_slots.members`). Entries place gangs through
:mod:`papayaspar_slots.launches`.
"""

from papayaspar_slots import agents, calls, claims, launches, ledger, messages, peers, terms

__all__ = ["agents", "calls", "claims", "launches", "ledger", "messages", "peers", "terms"]
