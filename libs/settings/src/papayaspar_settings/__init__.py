"""Settings from flags and environment variables, with validation, and the program runner.

``fields`` declares settings, ``kinds`` parses their values, ``loading`` reads and validates them,
``programs`` runs a program, ``commands`` generates its command line, ``exits`` defines exit codes,
``daemons`` runs a daemon until a signal, and ``tables`` describes settings and exit codes.
"""

from papayaspar_settings import exits, fields, kinds, loading, programs, tables

__all__ = ["exits", "fields", "kinds", "loading", "programs", "tables"]
