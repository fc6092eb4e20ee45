"""Replicated state machine."""

from __future__ import annotations
