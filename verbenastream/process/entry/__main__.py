"""Runs ``python -m verbenastream.process.entry``."""

from __future__ import annotations

from verbenastream.process import entry

entry.main()
