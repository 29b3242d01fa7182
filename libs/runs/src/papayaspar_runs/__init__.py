"""The agent's side of jobs: the runs, the lease and the fencing token of one worker."""

from papayaspar_runs import messages, registration, service, table, worker_control, workers

__all__ = [
    "messages",
    "registration",
    "service",
    "table",
    "worker_control",
    "workers",
]
