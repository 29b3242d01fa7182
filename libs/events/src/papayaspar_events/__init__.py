"""Typed events of a process: logged as key=value lines, counted, and merged into a timeline."""

from papayaspar_events import journal, lines, metrics, timeline

__all__ = ["journal", "lines", "metrics", "timeline"]
