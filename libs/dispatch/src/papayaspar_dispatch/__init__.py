"""Attempts, and claims of non-idempotent requests with the owners of their shards."""

from papayaspar_dispatch import (
    attempts,
    calls,
    claim_tables,
    claims,
    shard_chains,
    shard_records,
    shards,
)

__all__ = [
    "attempts",
    "calls",
    "claim_tables",
    "claims",
    "shard_chains",
    "shard_records",
    "shards",
]
