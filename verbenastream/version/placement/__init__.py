"""Placement of jobs under leases."""

from __future__ import annotations
