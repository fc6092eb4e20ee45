"""Service-level burn report."""

from __future__ import annotations
