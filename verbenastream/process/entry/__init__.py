"""The verbenastream-entry daemon."""

from __future__ import annotations

from verbenastream.process.entry.app import main

__all__ = ['main']
