"""In-memory stand-ins for the platform, for tests and demonstrations."""

from papayaspar_standin import faults, memory_logs, memory_runtimes, serving, targets

__all__ = ["faults", "memory_logs", "memory_runtimes", "serving", "targets"]
