"""Helpers for HTTP APIs: bounded bodies, disconnects, JSON documents and problems."""

from papayaspar_web import bodies, connections, documents, problems

__all__ = ["bodies", "connections", "documents", "problems"]
