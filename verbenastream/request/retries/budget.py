"""Budget that limits retries to a share of the traffic."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket for the retries of one service.

    Each first attempt adds ``share`` tokens, each retry takes one. The bucket
    starts with ``reserve`` tokens, so that a service with little traffic can
    retry at all.
    """

    share: float
    reserve: float = 10.0
    tokens: float = 10.0
    capacity: float = 100.0

    def deposit(self) -> None:
        self.tokens = min(self.capacity, self.tokens + self.share)

    def take(self) -> bool:
        """Take the token for one retry; returns False if there is none."""
        if self.share <= 0.0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
