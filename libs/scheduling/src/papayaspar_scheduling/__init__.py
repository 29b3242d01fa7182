"""Which task starts where, in which order, and what is stopped for it."""

from papayaspar_scheduling import (
    fleet,
    guarantees,
    health,
    ordering,
    placement,
    planner,
    preemption,
)

__all__ = ["fleet", "guarantees", "health", "ordering", "placement", "planner", "preemption"]
