"""Choice of a target, outlier ejection and slow start."""

from __future__ import annotations
