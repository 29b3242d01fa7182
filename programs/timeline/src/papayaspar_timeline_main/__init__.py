"""The program ``papayaspar-timeline``."""
