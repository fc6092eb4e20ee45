"""The time that the leader writes into commands."""

from __future__ import annotations

from collections.abc import Callable

# Claims expire by the time of the log. A wall clock that jumps a day ahead
# shortens a retention by at most this share.
SLEW = 0.1


class LogClock:
    """Follows the wall clock, never backwards and never by a jump.

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
        self._read_at = 0.0

    def start(self, state_time: float) -> None:
        """Continue from the time of the state; 0 stands for a new log."""
        self._time = state_time or self._wall()
        self._read_at = self._monotonic()

    def now(self) -> float:
        """Return the time in seconds since the epoch."""
        read_at = self._monotonic()
        elapsed = read_at - self._read_at
        self._read_at = read_at
        behind = self._wall() - (self._time + elapsed)
        self._time += elapsed + min(max(behind, 0.0), elapsed * SLEW)
        return self._time
