"""The agent daemon as a library: the one authority on its worker's slots and accelerators.

To embed one, make a ``config.AgentConfig`` and run a ``process.Agent`` in a task group;
``targets.Target`` is the base class of other kinds of targets.
"""

from papayaspar_agent import config, process, settings, targets

__all__ = ["config", "process", "settings", "targets"]
