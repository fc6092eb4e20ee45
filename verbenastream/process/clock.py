"""Clocks of a process."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return seconds since the machine's boot, time asleep included.

    Leases are measured with it: the monotonic clock stands still while the
    machine is suspended, so a leader that wakes up would take an old lease
    for a valid one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Return the time of day in seconds since 1970; it may jump."""
    return time.time()
