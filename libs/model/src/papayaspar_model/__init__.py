"""Core types, error tree, clocks and identifiers of papayaspar.

Every other library imports its modules from here::

    from papayaspar_model import errors, work
"""

from papayaspar_model import (
    causality,
    clock,
    errors,
    identifiers,
    rulesets,
    signals,
    work,
    workers,
)

__all__ = [
    "causality",
    "clock",
    "errors",
    "identifiers",
    "rulesets",
    "signals",
    "work",
    "workers",
]
