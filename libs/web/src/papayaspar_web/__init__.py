"""HTTP towards callers, operators and the platform: listeners, bounded bodies, problems."""

from papayaspar_web import bodies, connections, listeners, problems

__all__ = ["bodies", "connections", "listeners", "problems"]
