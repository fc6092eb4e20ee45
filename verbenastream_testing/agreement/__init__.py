"""Seeded fault schedules for the replicated log."""

from __future__ import annotations
