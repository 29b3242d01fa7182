"""Events of a process: typed, logged as key=value lines, counted, and merged into a time line."""

from papayaspar_events import journal, lines, metrics, timeline

__all__ = ["journal", "lines", "metrics", "timeline"]
