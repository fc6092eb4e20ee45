"""Clock for the timestamps that the leader writes into commands."""

from __future__ import annotations

from collections.abc import Callable

# Share by which the clock may run fast. Claims expire by the time of the log,
# so a wall clock that jumps a day ahead shortens the retention of a claim by
# at most this share.
_MAX_SLEW = 0.1


class LogClock:
    """Follows the wall clock without running backwards or jumping.

    It advances with the monotonic clock, up to 10% faster while it is behind
    the wall clock::

        clock = LogClock(time.monotonic, time.time)
        clock.start(state.time)  # when this process begins to lead
        command = RegisterEntry(entry, at=clock.now())
    """

    def __init__(
        self, monotonic: Callable[[], float], wall: Callable[[], float]
    ) -> None:
        self._monotonic = monotonic
        self._wall = wall
        self._time = 0.0
        self._last_read_at = 0.0

    def start(self, state_time: float) -> None:
        """Continue from ``state_time``, which is 0 for a new log."""
        self._time = state_time or self._wall()
        self._last_read_at = self._monotonic()

    def now(self) -> float:
        """Return the log time in seconds since the Unix epoch."""
        read_at = self._monotonic()
        elapsed = read_at - self._last_read_at
        self._last_read_at = read_at
        behind = self._wall() - (self._time + elapsed)
        self._time += elapsed + min(max(behind, 0.0), elapsed * _MAX_SLEW)
        return self._time
