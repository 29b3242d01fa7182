"""The program ``papayaspar-bench``."""
