"""Log and snapshot files."""

from __future__ import annotations
