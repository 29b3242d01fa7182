"""Attempts, claims of non-idempotent requests, answers."""

from papayaspar_dispatch import (
    attempts,
    claim_tables,
    claims,
    shard_chains,
    shard_records,
    shards,
)

__all__ = [
    "attempts",
    "claim_tables",
    "claims",
    "shard_chains",
    "shard_records",
    "shards",
]
