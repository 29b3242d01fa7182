"""The agent daemon as a library."""
