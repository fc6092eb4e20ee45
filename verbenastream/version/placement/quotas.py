"""Limits of what each team has leased at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.version.placement import resources

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.version import fleet
    from verbenastream.version.placement import jobs


class Quotas:
    """Charges declared needs, so that a team cannot gain by erring."""

    def __init__(self) -> None:
        self._quota_by_team: dict[ids.TeamId, fleet.Resources] = {}
        self._used_by_team: dict[ids.TeamId, fleet.Resources] = {}

    def set(self, team: ids.TeamId, quota: fleet.Resources) -> None:
        self._quota_by_team[team] = quota

    def quota(self, team: ids.TeamId) -> fleet.Resources | None:
        """Return the quota of ``team``; None for no limit."""
        return self._quota_by_team.get(team)

    def used(self, team: ids.TeamId) -> fleet.Resources:
        return self._used_by_team.get(team, resources.NONE)

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
        left = resources.subtract(self.used(job.team), job.need)
        if resources.is_zero(left):
            self._used_by_team.pop(job.team, None)
        else:
            self._used_by_team[job.team] = left
