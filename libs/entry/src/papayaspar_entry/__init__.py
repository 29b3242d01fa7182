"""The entry daemon as a library: HTTP to callers, decisions, streams to agents.

To embed one, make a ``config.EntryConfig`` and run a ``process.Entry`` in a task group.
"""

from papayaspar_entry import config, process, settings

__all__ = ["config", "process", "settings"]
