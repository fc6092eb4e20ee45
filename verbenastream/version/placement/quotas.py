"""Limits on the resources that each team has leased at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.version.placement import resources

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.version import fleet
    from verbenastream.version.placement import jobs


class Quotas:
    """Quotas and their usage by team.

    Declared needs are charged, not corrected ones, so that inaccurate
    declarations give a team no advantage.
    """

    def __init__(self) -> None:
        self._quota_by_team: dict[ids.TeamId, fleet.Resources] = {}
        self._used_by_team: dict[ids.TeamId, fleet.Resources] = {}

    def set(self, team: ids.TeamId, quota: fleet.Resources) -> None:
        self._quota_by_team[team] = quota

    def quota(self, team: ids.TeamId) -> fleet.Resources | None:
        """Return the quota of ``team``, or None if it has no limit."""
        return self._quota_by_team.get(team)

    def used(self, team: ids.TeamId) -> fleet.Resources:
        return self._used_by_team.get(team, resources.ZERO)

    def allows(self, job: jobs.Job) -> bool:
        quota = self._quota_by_team.get(job.team)
        if quota is None:
            return True
        return resources.fits(
            resources.add(self.used(job.team), job.need), quota
        )

    def charge(self, job: jobs.Job) -> None:
        self._used_by_team[job.team] = resources.add(
            self.used(job.team), job.need
        )

    def release(self, job: jobs.Job) -> None:
        still_used = resources.subtract(self.used(job.team), job.need)
        if resources.is_zero(still_used):
            self._used_by_team.pop(job.team, None)
        else:
            self._used_by_team[job.team] = still_used
