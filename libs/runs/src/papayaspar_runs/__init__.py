"""The agent: control of one worker's runs, lease and fencing token on behalf of a lead."""

from papayaspar_runs import messages, registration, service, table, worker_control, workers

__all__ = [
    "messages",
    "registration",
    "service",
    "table",
    "worker_control",
    "workers",
]
