"""The entry daemon as a library: HTTP APIs, dispatching, and streams to agents.

To embed an entry, create a ``config.EntryConfig`` and run a ``process.Entry`` in a task group.
"""

from papayaspar_entry import config, process, settings

__all__ = ["config", "process", "settings"]
