"""Fleet capacity and maintenance manager."""

from __future__ import annotations
