"""Streaming between a caller and a target."""

from __future__ import annotations
