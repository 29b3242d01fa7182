"""The agent daemon as a library: the one authority on its worker's slots and accelerators."""

from papayaspar_agent import config, process, reports, requests, targets

__all__ = ["config", "process", "reports", "requests", "targets"]
