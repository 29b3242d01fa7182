"""Settings from flags and environment variables, with validation, and the program runner.

``fields`` declares settings, ``kinds`` parses their values, ``loading`` reads and validates them,
``programs`` runs a program with its command line and exit codes, ``tables`` describes settings and
exit codes.
"""

from papayaspar_settings import exits, fields, kinds, loading, programs, tables

__all__ = ["exits", "fields", "kinds", "loading", "programs", "tables"]
