"""Exit codes of the commands, documented in docs/exit-codes.md."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the commands; scripts rely on the numbers."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    CANNOT_START = 4
    CONFLICT = 5
    REJECTED = 6
    UNAUTHORIZED = 7
    NOT_FOUND = 8
    UNREACHABLE = 9
    OUTCOME_UNKNOWN = 10
    NOT_IN_FORCE = 11
    DIFFERENT = 12
