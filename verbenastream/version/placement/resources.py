"""Arithmetic on resources."""

from __future__ import annotations

from verbenastream.version import fleet

ZERO = fleet.Resources(0.0, 0.0, 0)
# Tolerance for rounding errors in sums of fractions.
_EPSILON = 1e-6


def add(left: fleet.Resources, right: fleet.Resources) -> fleet.Resources:
    return fleet.Resources(
        left.cores + right.cores,
        left.memory_gb + right.memory_gb,
        left.accelerators + right.accelerators,
    )


def subtract(left: fleet.Resources, right: fleet.Resources) -> fleet.Resources:
    return fleet.Resources(
        left.cores - right.cores,
        left.memory_gb - right.memory_gb,
        left.accelerators - right.accelerators,
    )


def fits(need: fleet.Resources, free: fleet.Resources) -> bool:
    return (
        need.cores <= free.cores + _EPSILON
        and need.memory_gb <= free.memory_gb + _EPSILON
        and need.accelerators <= free.accelerators
    )


def minimum(left: fleet.Resources, right: fleet.Resources) -> fleet.Resources:
    """Return the smaller value of each resource."""
    return fleet.Resources(
        min(left.cores, right.cores),
        min(left.memory_gb, right.memory_gb),
        min(left.accelerators, right.accelerators),
    )


def is_zero(value: fleet.Resources) -> bool:
    return (
        abs(value.cores) < _EPSILON
        and abs(value.memory_gb) < _EPSILON
        and not value.accelerators
    )
