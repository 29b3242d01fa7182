"""The operator's client."""
