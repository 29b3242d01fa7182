"""Job specifications, queues, and the execution state of jobs and their tasks."""

from papayaspar_jobs import books, configurations, progress, specs, tasks

__all__ = ["books", "configurations", "progress", "specs", "tasks"]
