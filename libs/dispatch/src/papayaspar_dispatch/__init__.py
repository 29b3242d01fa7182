"""Attempts, claims of non-idempotent requests, answers."""
