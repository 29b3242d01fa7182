"""Jobs of steps and tasks, the queues they come through, and how far each one is."""

from papayaspar_jobs import books, configurations, progress, specs, tasks

__all__ = ["books", "configurations", "progress", "specs", "tasks"]
