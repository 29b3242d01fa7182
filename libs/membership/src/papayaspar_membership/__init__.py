"""View of the workers: who is there, in which life, and what each reports."""

from papayaspar_membership import ejection, members

__all__ = ["ejection", "members"]
