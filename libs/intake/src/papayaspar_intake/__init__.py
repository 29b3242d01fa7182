"""Accepting, cancelling and showing jobs, whatever front end callers use."""

from papayaspar_intake import access, desk

__all__ = ["access", "desk"]
