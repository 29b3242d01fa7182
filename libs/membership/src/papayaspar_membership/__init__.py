"""Membership of workers: known workers, their incarnations and reports, and outlier ejection."""

from papayaspar_membership import ejection, members

__all__ = ["ejection", "members"]
