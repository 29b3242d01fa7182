"""HTTP towards callers, operators and the platform: listeners, bounded bodies, problems."""

from papayaspar_web import bodies, connections, documents, listeners, problems

__all__ = ["bodies", "connections", "documents", "listeners", "problems"]
