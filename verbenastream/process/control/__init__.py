"""The verbenastream-control daemon."""

from __future__ import annotations
