"""Clocks that processes read."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return the seconds since boot, including time in suspend.

    Used for leases: the monotonic clock stops while the machine is suspended,
    so a leader would take an expired lease for valid after it resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Return the Unix time in seconds; it may jump."""
    return time.time()
