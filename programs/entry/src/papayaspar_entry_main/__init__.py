"""The program ``papayaspar-entry``."""
