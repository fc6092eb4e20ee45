"""Lanes, fair shares, run-time estimates and admission."""

from __future__ import annotations
