"""Test support: fakes, fault injection, load generator, replays and demo."""

from __future__ import annotations
