"""Authenticated JSON calls between processes."""

from __future__ import annotations
