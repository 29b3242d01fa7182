"""Core types, error hierarchy, clocks and identifiers of papayaspar.

Other libraries import the modules::

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
