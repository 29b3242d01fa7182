"""Settings from flags and environment variables, checked, and the frame of a program.

``fields`` declares settings, ``kinds`` says how a text is read, ``loading`` reads and checks them,
``programs`` runs a program with its command line and exit codes, ``tables`` describes it.
"""

from papayaspar_settings import exits, fields, kinds, loading, programs, tables

__all__ = ["exits", "fields", "kinds", "loading", "programs", "tables"]
