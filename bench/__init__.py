"""Benchmarks; ``python -m bench.run`` prints every figure."""

from __future__ import annotations
