"""The program ``papayaspar-agent``."""
