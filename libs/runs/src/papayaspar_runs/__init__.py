"""The agent's side of jobs: the runs, the lease and the fencing token of one worker."""

from papayaspar_runs import keeper, messages, registration, service, table, workers

__all__ = ["keeper", "messages", "registration", "service", "table", "workers"]
