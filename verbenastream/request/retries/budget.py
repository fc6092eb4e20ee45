"""Bound on retries as a share of the traffic."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket: each first attempt adds a share, each retry takes one.

    ``reserve`` tokens are available at the start, so that a service with
    little traffic can retry at all.
    """

    share: float
    reserve: float = 10.0
    tokens: float = 10.0
    capacity: float = 100.0

    def deposit(self) -> None:
        self.tokens = min(self.capacity, self.tokens + self.share)

    def take(self) -> bool:
        """Take one retry from the budget; False if it is exhausted."""
        if self.share <= 0.0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
