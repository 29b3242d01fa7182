"""Stand-ins for the platform, for tests and first looks."""
