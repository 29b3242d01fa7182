"""Job specifications, queues, and the execution state of jobs and their tasks."""

from papayaspar_jobs import configurations, progress, registries, specs, tasks

__all__ = ["configurations", "progress", "registries", "specs", "tasks"]
