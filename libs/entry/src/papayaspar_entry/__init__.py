"""The entry daemon as a library: HTTP to callers, decisions, streams to agents."""

from papayaspar_entry import callers, config, dispatcher, operators, process, sessions

__all__ = ["callers", "config", "dispatcher", "operators", "process", "sessions"]
