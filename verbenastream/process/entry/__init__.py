"""The verbenastream-entry daemon."""

from __future__ import annotations
