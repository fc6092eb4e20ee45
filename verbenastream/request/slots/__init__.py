"""Slot grants between entries."""

from __future__ import annotations
