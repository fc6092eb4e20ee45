"""Trace format, recorder and replay."""

from __future__ import annotations
