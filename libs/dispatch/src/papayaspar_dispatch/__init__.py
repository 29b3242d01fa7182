"""Retry decisions, and deduplication of non-idempotent requests by sharded idempotency keys."""

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
