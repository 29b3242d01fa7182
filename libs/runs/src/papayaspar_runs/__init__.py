"""The agent's side of jobs: one worker's runs, its lease and its fencing token."""

from papayaspar_runs import keeper, messages, registration, service, table, workers

__all__ = ["keeper", "messages", "registration", "service", "table", "workers"]
