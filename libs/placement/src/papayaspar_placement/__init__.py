"""Choice of workers and accelerators for work."""
