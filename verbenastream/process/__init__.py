"""Modules of the daemons and of the command-line client."""

from __future__ import annotations
