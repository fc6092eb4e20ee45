"""The verbenastream command line."""

from __future__ import annotations
