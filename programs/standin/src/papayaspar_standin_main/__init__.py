"""The program ``papayaspar-standin``."""
