"""The program ``papayaspar-ctl``."""
