"""Presence of targets and leases of entries."""

from __future__ import annotations
