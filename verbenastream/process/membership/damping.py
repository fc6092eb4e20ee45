"""Keeps a flapping instance suspected until it stays present."""

from __future__ import annotations

import dataclasses

from verbenastream import ids

_WINDOW_S = 60.0
# Two recoveries within a minute may be one bad link; a third is a pattern.
_TOLERATED = 2
_FIRST_HOLD_S = 5.0
_LONGEST_HOLD_S = 60.0


@dataclasses.dataclass(slots=True)
class _Flaps:
    count: int
    last_at: float
    held_until: float


class Damping:
    """Counts recoveries; each above two in a minute doubles the hold."""

    def __init__(self) -> None:
        self._flaps_by_id: dict[ids.InstanceId, _Flaps] = {}

    def recovered(self, instance: ids.InstanceId, now: float) -> None:
        """Record that a suspected or removed instance is back."""
        flaps = self._flaps_by_id.get(instance)
        if flaps is None or now - flaps.last_at > _WINDOW_S:
            self._flaps_by_id[instance] = _Flaps(1, now, now)
            return
        flaps.count += 1
        flaps.last_at = now
        excess = flaps.count - _TOLERATED
        if excess > 0:
            hold_s = min(_FIRST_HOLD_S * 2 ** (excess - 1), _LONGEST_HOLD_S)
            flaps.held_until = now + hold_s

    def is_held(self, instance: ids.InstanceId, now: float) -> bool:
        flaps = self._flaps_by_id.get(instance)
        return flaps is not None and now < flaps.held_until

    def forget_old(self, now: float) -> None:
        for instance, flaps in list(self._flaps_by_id.items()):
            if now - flaps.last_at > _WINDOW_S and now >= flaps.held_until:
                del self._flaps_by_id[instance]
