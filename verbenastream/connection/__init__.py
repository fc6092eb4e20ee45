"""Connections between callers, entries, targets and other processes."""

from __future__ import annotations
