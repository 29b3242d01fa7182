"""Scheduling decisions: the order of waiting units, their placement, and preemption for them."""

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
