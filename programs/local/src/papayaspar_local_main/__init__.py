"""The program ``papayaspar-local``."""
