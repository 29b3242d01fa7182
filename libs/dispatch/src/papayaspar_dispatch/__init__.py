"""Attempts, claims of non-idempotent requests, answers."""

from papayaspar_dispatch import (
    answers,
    attempts,
    claim_tables,
    claims,
    shard_chains,
    shard_records,
    shards,
)

__all__ = [
    "answers",
    "attempts",
    "claim_tables",
    "claims",
    "shard_chains",
    "shard_records",
    "shards",
]
