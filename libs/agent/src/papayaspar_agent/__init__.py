"""The agent daemon as a library: the one authority on its worker's slots and accelerators."""

from papayaspar_agent import config, process, requests, settings, targets

__all__ = ["config", "process", "requests", "settings", "targets"]
