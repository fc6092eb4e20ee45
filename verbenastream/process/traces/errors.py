"""Errors of trace files."""

from __future__ import annotations

from verbenastream import errors


class TraceFileError(errors.VerbenastreamError):
    """A trace file cannot be read or has an invalid line."""
