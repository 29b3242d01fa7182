"""Accepting, cancelling and showing jobs, whatever front end callers use."""

from papayaspar_intake import access, job_service

__all__ = ["access", "job_service"]
