"""Clients of the platform: the append-only log service and the worker runtime."""

from papayaspar_platform import exchanges, followers, http_logs, http_runtimes, logs, runtimes

__all__ = ["exchanges", "followers", "http_logs", "http_runtimes", "logs", "runtimes"]
