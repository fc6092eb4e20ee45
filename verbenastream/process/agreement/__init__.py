"""Raft agreement between control replicas."""

from __future__ import annotations
