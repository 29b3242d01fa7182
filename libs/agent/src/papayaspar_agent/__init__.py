"""The agent daemon as a library: the only authority on its worker's slots and accelerators.

To embed an agent, create a ``config.AgentConfig`` and run a ``process.Agent`` in a task group;
``targets.Target`` is the base class for other kinds of targets.
"""

from papayaspar_agent import config, process, settings, targets

__all__ = ["config", "process", "settings", "targets"]
