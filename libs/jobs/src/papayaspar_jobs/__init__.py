"""Job specifications, queues, and the execution state of jobs and their tasks."""

from papayaspar_jobs import configurations, durations, progress, registries, specs, tasks

__all__ = ["configurations", "durations", "progress", "registries", "specs", "tasks"]
