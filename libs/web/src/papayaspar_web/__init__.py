"""HTTP towards callers, operators and the platform: listeners, bounded bodies, problems."""

from papayaspar_web import bodies, listeners, problems

__all__ = ["bodies", "listeners", "problems"]
