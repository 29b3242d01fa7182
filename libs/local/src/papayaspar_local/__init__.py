"""The whole system in one process on loopback, for demonstrations and embedding."""

from papayaspar_local import demo, layouts, systems

__all__ = ["demo", "layouts", "systems"]
