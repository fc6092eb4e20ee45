"""Runs the planner on the leader and proposes its transitions."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

import logbook

from verbenastream import ids
from verbenastream.process import reports
from verbenastream.process.reports import report as burn_reports
from verbenastream.process import state as states
from verbenastream.version import planning

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from verbenastream.process.control import fleet_presence
    from verbenastream.process.control import log_clock

LOG = logbook.Logger(__name__)

_BUDGET_INTERVAL_S = 60.0
_BUDGET_WINDOW_S = 28 * 86_400.0
# At this rate the budget of 28 days is gone in two days.
_FAST_BURN = 14.0
_FAST_WINDOW_S = 3_600.0
# Peaks of some seconds pass; the planner moves for the mean of an hour.
_LASTING_S = 3_600.0


class DemandMeter:
    """Sums the entries' busy instances and keeps a mean over an hour."""

    def __init__(self) -> None:
        self._busy_by_entry: dict[
            ids.EntryId, tuple[float, dict[ids.ServiceId, float]]
        ] = {}
        self._lasting_by_service: dict[ids.ServiceId, float] = {}
        self._read_at: float | None = None

    def report(
        self,
        entry: ids.EntryId,
        busy_by_service: dict[ids.ServiceId, float],
        now: float,
    ) -> None:
        self._busy_by_entry[entry] = (now, busy_by_service)

    def read(self, now: float) -> dict[ids.ServiceId, planning.Demand]:
        """Return the demand of each service; called about every second."""
        total: dict[ids.ServiceId, float] = {}
        for entry, (reported_at, busy) in list(self._busy_by_entry.items()):
            if now - reported_at > _BUDGET_INTERVAL_S:
                del self._busy_by_entry[entry]
                continue
            for service, value in busy.items():
                total[service] = total.get(service, 0.0) + value
        elapsed = 0.0 if self._read_at is None else now - self._read_at
        self._read_at = now
        weight = 1.0 - math.exp(-elapsed / _LASTING_S)
        for service in total.keys() | self._lasting_by_service.keys():
            value = total.get(service, 0.0)
            before = self._lasting_by_service.get(service, value)
            self._lasting_by_service[service] = before + weight * (
                value - before
            )
        return {
            service: planning.Demand(total.get(service, 0.0), lasting)
            for service, lasting in self._lasting_by_service.items()
        }


class PlanningDuty:
    """Keeps the last plan for the status page and its explanations."""

    def __init__(
        self,
        state: states.ControlState,
        planner: planning.Planner,
        presence: fleet_presence.FleetPresence,
        clock: log_clock.LogClock,
        propose: Callable[[states.Command], Awaitable[Any]],
    ) -> None:
        self._state = state
        self._planner = planner
        self._presence = presence
        self._clock = clock
        self._propose = propose
        self.demand = DemandMeter()
        self.plan: planning.Plan | None = None
        self._spent_by_service: dict[ids.ServiceId, planning.BudgetSpent] = {}
        self._budgets_read_at = float('-inf')

    async def run_once(self, now: float) -> int:
        """Plan and propose; return the number of transitions done."""
        at = self._clock.now()
        self._read_budgets(at)
        self.plan = self._planner.plan(self.fleet_state(now), at)
        if not self.plan.transitions:
            return 0
        result = await self._propose(
            states.ChangeInstances(self.plan.transitions, at)
        )
        done = 0
        for transition, verdict in zip(
            self.plan.transitions, result.verdicts, strict=True
        ):
            if verdict is states.TransitionVerdict.DONE:
                done += 1
                LOG.info(
                    'instance {} becomes {}: {}',
                    transition.instance,
                    transition.state.value,
                    transition.reason.value,
                    extra={
                        'instance': transition.instance,
                        'pool': transition.pool,
                    },
                )
        return done

    def fleet_state(self, now: float) -> planning.FleetState:
        """Return the input of the planner."""
        view = self._state.view
        entries = view.live_entries()
        instances = view.instances_by_id
        return planning.FleetState(
            instances_by_id=dict(instances),
            documents_by_service=dict(view.documents_by_service),
            demand_by_service=self.demand.read(now),
            spent_by_service=self._spent_by_service,
            notices=tuple(self._state.notices_by_id.values()),
            presence_by_data_centre=self._presence.pictures(
                instances, entries, now
            ),
            returned=self._presence.returned(instances, entries, now),
            drained=self._presence.drained(instances, now),
            moves=self._state.fleet_log.moves(self._state.time),
        )

    def _read_budgets(self, at: float) -> None:
        if at - self._budgets_read_at < _BUDGET_INTERVAL_S:
            return
        self._budgets_read_at = at
        self._spent_by_service = {
            service.service: _spent(service)
            for service in burn_report(self._state, self.plan, at).services
        }


def burn_report(
    state: states.ControlState,
    plan: planning.Plan | None,
    at: float,
    rollout_s: float | None = None,
) -> reports.BurnReport:
    """Return the burn report of the replicated counts at log time ``at``."""
    events = state.fleet_log.events()
    moves = sum(event.kind is reports.EventKind.MOVE for event in events)
    return reports.BurnCalculator(state.burn, events).report(
        reports.commitments_of(
            {
                service: document.availability
                for service, document in (
                    state.view.documents_by_service.items()
                )
            }
        ),
        reports.FleetFigures(
            instances=len(state.view.instances_by_id),
            buffer_instances=0.0 if plan is None else float(plan.reserve),
            moves=moves,
            rollout_s=rollout_s,
        ),
        at,
    )


def _spent(service: burn_reports.ServiceBurn) -> planning.BudgetSpent:
    """Express the burnt share of the budget in seconds of unavailability."""
    if not service.spent:
        return planning.BudgetSpent()
    total_s = service.spent * (1 - service.availability) * _BUDGET_WINDOW_S
    seconds = {cause.cause: cause.share * total_s for cause in service.causes}
    fast = any(
        window.seconds == _FAST_WINDOW_S
        and window.burn_rate is not None
        and window.burn_rate >= _FAST_BURN
        for window in service.windows
    )
    return planning.BudgetSpent(
        unplanned_s=seconds.get('unplanned', 0.0),
        maintenance_s=seconds.get('maintenance', 0.0),
        moves_s=seconds.get('move', 0.0),
        overload_s=seconds.get('overload', 0.0),
        fast_burn=fast,
    )
