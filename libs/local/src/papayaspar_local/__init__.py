"""The whole system in one process."""
