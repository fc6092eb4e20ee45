"""What lives for one process."""

from __future__ import annotations
