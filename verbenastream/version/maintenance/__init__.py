"""Maintenance schedule, drains and roll-outs."""

from __future__ import annotations
