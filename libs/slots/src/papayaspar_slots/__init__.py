"""An agent's ledger of slots, accelerators and leases."""
