"""Table of the targets, outlier ejection and slow start."""

from __future__ import annotations

from verbenastream.request.routing.outliers import Detector
from verbenastream.request.routing.targets import TargetTable

__all__ = ['Detector', 'TargetTable']
