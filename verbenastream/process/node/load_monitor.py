"""Measures whether the event loop of a node keeps up with its work."""

from __future__ import annotations

import asyncio

import logbook

from verbenastream.process import clock

LOG = logbook.Logger(__name__)

_INTERVAL_S = 0.1
# The loop is overloaded while its timers are this late, and until they are
# only a little late again. Workers ignore answers that are a second old.
_OVERLOADED_LAG_S = 0.15
_NORMAL_LAG_S = 0.04
# A timer that is later, by a clock that includes suspension, means that the
# process or its machine stood still.
_MIN_PAUSE_S = 1.0
# Weight of the latest measurement in the average.
_LATEST_WEIGHT = 0.3


class LoadMonitor:
    """Tells from late timers whether the event loop is overloaded.

    ::

        monitor = LoadMonitor()
        task = asyncio.create_task(monitor.run())
        ...
        if monitor.is_overloaded:
            ...
    """

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.is_overloaded = False

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            expected = loop.time() + _INTERVAL_S
            resumes_at = clock.boot_time() + _INTERVAL_S
            await asyncio.sleep(_INTERVAL_S)
            self.record(max(0.0, loop.time() - expected))
            self.record_pause(clock.boot_time() - resumes_at)

    def record(self, lag_s: float) -> None:
        """Include by how many seconds a timer was late."""
        self.lag_s += _LATEST_WEIGHT * (lag_s - self.lag_s)
        was_overloaded = self.is_overloaded
        if self.lag_s > _OVERLOADED_LAG_S:
            self.is_overloaded = True
        elif self.lag_s < _NORMAL_LAG_S:
            self.is_overloaded = False
        if self.is_overloaded is not was_overloaded:
            LOG.warning(
                'event loop load changed',
                extra={
                    'overloaded': self.is_overloaded,
                    'lag_s': round(self.lag_s, 3),
                },
            )

    def record_pause(self, pause_s: float) -> None:
        """Log a pause of ``pause_s`` seconds, unless it is a short one.

        With it the log tells a paused process from one that was cut off.
        """
        if pause_s >= _MIN_PAUSE_S:
            LOG.warning(
                'process was paused', extra={'pause_s': round(pause_s, 3)}
            )
