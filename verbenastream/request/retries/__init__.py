"""Retry budget, backoff and retry policy."""

from __future__ import annotations

from verbenastream.request.retries.budget import RetryBudget
from verbenastream.request.retries.policy import Refusal

__all__ = ['Refusal', 'RetryBudget']
