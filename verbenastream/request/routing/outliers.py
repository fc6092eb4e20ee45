"""Passive outlier detection from the outcomes of attempts."""

from __future__ import annotations

import dataclasses
import math

from verbenastream import ids

_MAX_CONSECUTIVE_FAILURES = 5
_RATE_TIME_CONSTANT_S = 10.0
_MIN_RATE_SAMPLES = 20.0
_MIN_SUCCESS_RATE = 0.5
_BASE_EJECTION_S = 5.0
_MAX_EJECTION_S = 300.0
# At most this share of a pool is ejected. If more targets fail at once, they
# more likely have a common cause, and ejection would overload the rest.
_MAX_EJECTED_SHARE = 0.34
_SLOW_START_S = 5.0


@dataclasses.dataclass(slots=True)
class _Health:
    consecutive_failures: int = 0
    successes: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    ejection_count: int = 0
    ejected_until: float = 0.0
    ejected: bool = False
    readmitted_at: float = -math.inf

    def decay(self, now: float) -> None:
        factor = math.exp(-(now - self.updated_at) / _RATE_TIME_CONSTANT_S)
        self.successes *= factor
        self.failures *= factor
        self.updated_at = now


class Detector:
    """Ejects the failing targets of one pool and readmits them.

    The decision uses error counts only. A target that fails quickly has many
    free slots, so the load says nothing about its health.
    """

    def __init__(self) -> None:
        self._health_by_id: dict[ids.InstanceId, _Health] = {}
        self._members: frozenset[ids.InstanceId] = frozenset()

    def set_members(self, members: frozenset[ids.InstanceId]) -> None:
        self._members = members
        for removed in set(self._health_by_id) - members:
            del self._health_by_id[removed]

    def record(
        self, instance: ids.InstanceId, succeeded: bool, now: float
    ) -> None:
        """Count one attempt; ejects the target if it fails too often."""
        health = self._health_by_id.setdefault(
            instance, _Health(updated_at=now)
        )
        health.decay(now)
        if succeeded:
            health.successes += 1.0
            health.consecutive_failures = 0
            if health.ejected and now >= health.ejected_until:
                self._readmit(health, now)
            return
        health.failures += 1.0
        health.consecutive_failures += 1
        if health.ejected:
            if now >= health.ejected_until:
                self._eject(health, now)
        elif self._exceeds_failure_limit(health) and self._may_eject():
            self._eject(health, now)

    def is_ejected(self, instance: ids.InstanceId) -> bool:
        """Whether the target is ejected and no probe has succeeded yet."""
        health = self._health_by_id.get(instance)
        return health is not None and health.ejected

    def grantable_slots(
        self,
        instance: ids.InstanceId,
        free_slots: int,
        granted_slots: int,
        now: float,
    ) -> int:
        """Return how many of the free slots may be granted now.

        An ejected target gets none until its ejection time is over, then one
        for a probe. During the slow start, a readmitted target gets its slots
        back gradually.
        """
        health = self._health_by_id.get(instance)
        if health is None:
            return free_slots
        if health.ejected:
            allowed = 1 if now >= health.ejected_until else 0
            return min(free_slots, allowed - granted_slots)
        share = (now - health.readmitted_at) / _SLOW_START_S
        if share >= 1.0:
            return free_slots
        slots = free_slots + granted_slots
        return min(free_slots, math.ceil(slots * share) - granted_slots)

    def _exceeds_failure_limit(self, health: _Health) -> bool:
        if health.consecutive_failures >= _MAX_CONSECUTIVE_FAILURES:
            return True
        total = health.successes + health.failures
        return (
            total >= _MIN_RATE_SAMPLES
            and health.successes < _MIN_SUCCESS_RATE * total
        )

    def _may_eject(self) -> bool:
        ejected = sum(h.ejected for h in self._health_by_id.values())
        allowed = max(1, int(_MAX_EJECTED_SHARE * len(self._members)))
        return len(self._members) > 1 and ejected < allowed

    def _eject(self, health: _Health, now: float) -> None:
        health.ejected = True
        health.ejection_count += 1
        growth = 2.0 ** min(health.ejection_count - 1, 10)
        health.ejected_until = now + min(
            _MAX_EJECTION_S, _BASE_EJECTION_S * growth
        )

    def _readmit(self, health: _Health, now: float) -> None:
        health.ejected = False
        health.consecutive_failures = 0
        health.successes = 0.0
        health.failures = 0.0
        health.readmitted_at = now
