"""Runs of gangs on simulated workers, which only work together."""

from __future__ import annotations

import dataclasses

from verbenastream.process.jobqueue import model

# A member whose gang is not complete by then ends alone.
_WAIT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class GangRun:
    """One run of the gang of a step, with ``count`` members."""

    job: str
    occurrence: int
    step: int
    number: int
    count: int
    work_s: float


@dataclasses.dataclass(slots=True)
class _Progress:
    first_at: float
    present: set[int] = dataclasses.field(default_factory=set)
    complete_at: float | None = None
    is_broken: bool = False


class SimGangs:
    """Tells the members of each gang, on any worker, when its run ends."""

    def __init__(self) -> None:
        self._progress_by_run: dict[GangRun, _Progress] = {}

    def join(self, run: GangRun, position: int, now: float) -> None:
        """Add a member; the work begins with the last one."""
        progress = self._progress_by_run.setdefault(run, _Progress(now))
        progress.present.add(position)
        if len(progress.present) == run.count and not progress.is_broken:
            progress.complete_at = now

    def is_done(self, run: GangRun, now: float) -> bool:
        """Whether the members have worked together for long enough."""
        progress = self._progress_by_run[run]
        return (
            progress.complete_at is not None
            and not progress.is_broken
            and now >= progress.complete_at + run.work_s
        )

    def leave(self, run: GangRun, now: float) -> None:
        """End the run of the other members, unless it is done already."""
        if not self.is_done(run, now):
            self._progress_by_run[run].is_broken = True

    def end_kind(
        self, run: GangRun, now: float, fails: bool
    ) -> model.EndKind | None:
        """Return how a member ends now, None while its run goes on."""
        progress = self._progress_by_run[run]
        if progress.is_broken:
            return model.EndKind.BROKEN
        if progress.complete_at is None:
            if now > progress.first_at + _WAIT_S:
                return model.EndKind.ALONE
            return None
        if not self.is_done(run, now):
            # A failure comes before the end of the work, for all members.
            half_s = run.work_s / 2
            if fails and now >= progress.complete_at + half_s:
                return model.EndKind.FAILED
            return None
        return model.EndKind.DONE
