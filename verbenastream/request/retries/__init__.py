"""Retry budget, backoff and retry policy."""

from __future__ import annotations
