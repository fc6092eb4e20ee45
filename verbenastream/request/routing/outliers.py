"""Passive detection of failing targets from the outcome of attempts."""

from __future__ import annotations

import dataclasses
import math

from verbenastream import ids

_CONSECUTIVE_FAILURES = 5
_RATE_WINDOW_S = 10.0
_RATE_MINIMUM = 20.0
_RATE_BELOW = 0.5
_BASE_EJECTION_S = 5.0
_MAX_EJECTION_S = 300.0
# At most this share of a pool is ejected; with more failing at once, the
# cause is more likely common to all, and ejection would only overload the
# rest.
_MAX_EJECTED_SHARE = 0.34
_SLOW_START_S = 5.0


@dataclasses.dataclass(slots=True)
class _Health:
    consecutive: int = 0
    good: float = 0.0
    bad: float = 0.0
    updated: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    probing: bool = False
    returned_at: float = -math.inf

    def decay(self, now: float) -> None:
        factor = math.exp(-(now - self.updated) / _RATE_WINDOW_S)
        self.good *= factor
        self.bad *= factor
        self.updated = now


class Detector:
    """Health of the targets of one pool.

    The decision uses error counts only. A target that fails quickly looks
    idle, so its free slots say nothing about its health.
    """

    def __init__(self) -> None:
        self._health_by_id: dict[ids.InstanceId, _Health] = {}
        self._members: frozenset[ids.InstanceId] = frozenset()

    def set_members(self, members: frozenset[ids.InstanceId]) -> None:
        self._members = members
        for gone in set(self._health_by_id) - members:
            del self._health_by_id[gone]

    def record(self, instance: ids.InstanceId, good: bool, now: float) -> None:
        """Count one attempt; ejects the target if it fails too often."""
        health = self._health_by_id.setdefault(instance, _Health(updated=now))
        health.decay(now)
        if good:
            health.good += 1.0
            health.consecutive = 0
            if health.probing and now >= health.ejected_until:
                self._readmit(health, now)
            return
        health.bad += 1.0
        health.consecutive += 1
        if health.probing:
            if now >= health.ejected_until:
                self._eject(health, now)
        elif self._fails(health) and self._may_eject():
            self._eject(health, now)

    def is_ejected(self, instance: ids.InstanceId) -> bool:
        """Whether the target is ejected or waits for its probe."""
        health = self._health_by_id.get(instance)
        return health is not None and health.probing

    def grantable_slots(
        self, instance: ids.InstanceId, free: int, granted: int, now: float
    ) -> int:
        """Return how many of ``free`` slots may be granted now.

        An ejected target gets none until its time is over, then one for the
        probe. A readmitted target gets its slots back over the slow start.
        """
        health = self._health_by_id.get(instance)
        if health is None:
            return free
        if health.probing:
            allowed = 1 if now >= health.ejected_until else 0
            return min(free, allowed - granted)
        share = (now - health.returned_at) / _SLOW_START_S
        if share >= 1.0:
            return free
        slots = free + granted
        return min(free, math.ceil(slots * share) - granted)

    def _fails(self, health: _Health) -> bool:
        if health.consecutive >= _CONSECUTIVE_FAILURES:
            return True
        total = health.good + health.bad
        return total >= _RATE_MINIMUM and health.good < _RATE_BELOW * total

    def _may_eject(self) -> bool:
        ejected = sum(h.probing for h in self._health_by_id.values())
        allowed = max(1, int(_MAX_EJECTED_SHARE * len(self._members)))
        return len(self._members) > 1 and ejected < allowed

    def _eject(self, health: _Health, now: float) -> None:
        health.probing = True
        health.ejections += 1
        growth = 2.0 ** min(health.ejections - 1, 10)
        health.ejected_until = now + min(
            _MAX_EJECTION_S, _BASE_EJECTION_S * growth
        )

    def _readmit(self, health: _Health, now: float) -> None:
        health.probing = False
        health.consecutive = 0
        health.good = 0.0
        health.bad = 0.0
        health.returned_at = now
