"""Clients of the platform: the append-only log service and the worker runtime."""

from papayaspar_platform import exchanges, http_logs, http_runtimes, logs, runtimes

__all__ = ["exchanges", "http_logs", "http_runtimes", "logs", "runtimes"]
