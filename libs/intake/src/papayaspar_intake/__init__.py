"""Submission, cancellation and status of jobs, independent of the callers' protocol."""

from papayaspar_intake import access, job_service

__all__ = ["access", "job_service"]
