"""Flap damping: keeps a flapping instance suspected until it is stable."""

from __future__ import annotations

import dataclasses

from verbenastream import ids

_FLAP_WINDOW_S = 60.0
# Two recoveries within a minute can be caused by a single network fault; from
# the third on, the instance is treated as flapping.
_UNDAMPED_RECOVERIES = 2
_INITIAL_HOLD_S = 5.0
_MAX_HOLD_S = 60.0


@dataclasses.dataclass(slots=True)
class _FlapHistory:
    recoveries: int
    last_recovery_at: float
    held_until: float


class FlapDamping:
    """Counts the recoveries of each instance.

    Recoveries less than a minute apart belong together. The third one holds
    the instance as suspected, and each further one doubles the hold time.
    """

    def __init__(self) -> None:
        self._histories_by_id: dict[ids.InstanceId, _FlapHistory] = {}

    def record_recovery(self, instance: ids.InstanceId, now: float) -> None:
        """Record that a suspected or removed instance is present again."""
        history = self._histories_by_id.get(instance)
        if history is None or now - history.last_recovery_at > _FLAP_WINDOW_S:
            self._histories_by_id[instance] = _FlapHistory(1, now, now)
            return
        history.recoveries += 1
        history.last_recovery_at = now
        damped_recoveries = history.recoveries - _UNDAMPED_RECOVERIES
        if damped_recoveries > 0:
            hold_s = min(
                _INITIAL_HOLD_S * 2 ** (damped_recoveries - 1), _MAX_HOLD_S
            )
            history.held_until = now + hold_s

    def is_held(self, instance: ids.InstanceId, now: float) -> bool:
        """Whether the instance stays suspected although it is heard."""
        history = self._histories_by_id.get(instance)
        return history is not None and now < history.held_until

    def remove_expired(self, now: float) -> None:
        for instance, history in list(self._histories_by_id.items()):
            if (
                now - history.last_recovery_at > _FLAP_WINDOW_S
                and now >= history.held_until
            ):
                del self._histories_by_id[instance]
