"""HTTP towards callers, operators and the platform: bounded bodies, problems."""

from papayaspar_web import bodies, connections, documents, problems

__all__ = ["bodies", "connections", "documents", "problems"]
