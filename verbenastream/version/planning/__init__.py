"""Pool sizes, buffers and moves."""

from __future__ import annotations
