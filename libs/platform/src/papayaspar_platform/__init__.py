"""Clients of the platform: the append-only log service and the worker runtime."""

from papayaspar_platform import logs, runtimes

__all__ = ["logs", "runtimes"]
