"""Runs the planner on the leader and proposes the planned transitions."""

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
_DEMAND_EXPIRY_S = 60.0
_BUDGET_WINDOW_S = 28 * 86_400.0
# A burn rate of 14 uses up the budget of 28 days in two days.
_FAST_BURN_RATE = 14.0
_FAST_BURN_WINDOW_S = 3_600.0
# Instances move between pools for the mean demand over an hour, not for peaks
# of a few seconds.
_DEMAND_AVERAGING_S = 3_600.0


class DemandMeter:
    """Sums the busy instances of all entries and averages over an hour."""

    def __init__(self) -> None:
        self._busy_by_entry: dict[
            ids.EntryId, tuple[float, dict[ids.ServiceId, float]]
        ] = {}
        self._mean_by_service: dict[ids.ServiceId, float] = {}
        self._last_read_at: float | None = None

    def report(
        self,
        entry: ids.EntryId,
        busy_by_service: dict[ids.ServiceId, float],
        now: float,
    ) -> None:
        self._busy_by_entry[entry] = (now, busy_by_service)

    def read(self, now: float) -> dict[ids.ServiceId, planning.Demand]:
        """Return the current and the mean demand of each service.

        Reports older than ``_DEMAND_EXPIRY_S`` no longer count.
        """
        total_by_service: dict[ids.ServiceId, float] = {}
        for entry, (reported_at, busy_by_service) in list(
            self._busy_by_entry.items()
        ):
            if now - reported_at > _DEMAND_EXPIRY_S:
                del self._busy_by_entry[entry]
                continue
            for service, value in busy_by_service.items():
                total_by_service[service] = (
                    total_by_service.get(service, 0.0) + value
                )
        elapsed = (
            0.0 if self._last_read_at is None else now - self._last_read_at
        )
        self._last_read_at = now
        weight = 1.0 - math.exp(-elapsed / _DEMAND_AVERAGING_S)
        for service in total_by_service.keys() | self._mean_by_service.keys():
            busy = total_by_service.get(service, 0.0)
            previous_mean = self._mean_by_service.get(service, busy)
            self._mean_by_service[service] = previous_mean + weight * (
                busy - previous_mean
            )
        return {
            service: planning.Demand(total_by_service.get(service, 0.0), mean)
            for service, mean in self._mean_by_service.items()
        }


class PlanningDuty:
    """Plans periodically and proposes the transitions of the plan.

    ``plan`` is the last plan; the status call shows its explanations.
    """

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
        self._budgets_updated_at = float('-inf')

    async def run_once(self, now: float) -> int:
        """Plan, propose and return the number of applied transitions."""
        log_time = self._clock.now()
        self._update_budgets(log_time)
        self.plan = self._planner.plan(self.fleet_state(now), log_time)
        if not self.plan.transitions:
            return 0
        result = await self._propose(
            states.ChangeInstances(self.plan.transitions, log_time)
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
            presence_by_data_centre=self._presence.presence_by_data_centre(
                instances, entries, now
            ),
            returned=self._presence.returned_instances(
                instances, entries, now
            ),
            drained=self._presence.drained_instances(instances, now),
            moves=self._state.fleet_log.moves(self._state.time),
        )

    def _update_budgets(self, log_time: float) -> None:
        if log_time - self._budgets_updated_at < _BUDGET_INTERVAL_S:
            return
        self._budgets_updated_at = log_time
        self._spent_by_service = {
            service.service: _budget_spent(service)
            for service in burn_report(
                self._state, self.plan, log_time
            ).services
        }


def burn_report(
    state: states.ControlState,
    plan: planning.Plan | None,
    log_time: float,
    rollout_s: float | None = None,
) -> reports.BurnReport:
    """Return the burn report of the replicated counts for ``log_time``.

    ``rollout_s`` is the duration of the last rollout, if known.
    """
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
        log_time,
    )


def _budget_spent(service: burn_reports.ServiceBurn) -> planning.BudgetSpent:
    """Return the spent error budget in seconds of unavailability."""
    if not service.spent:
        return planning.BudgetSpent()
    total_s = service.spent * (1 - service.availability) * _BUDGET_WINDOW_S
    seconds = {cause.cause: cause.share * total_s for cause in service.causes}
    fast = any(
        window.seconds == _FAST_BURN_WINDOW_S
        and window.burn_rate is not None
        and window.burn_rate >= _FAST_BURN_RATE
        for window in service.windows
    )
    return planning.BudgetSpent(
        unplanned_s=seconds.get('unplanned', 0.0),
        maintenance_s=seconds.get('maintenance', 0.0),
        moves_s=seconds.get('move', 0.0),
        overload_s=seconds.get('overload', 0.0),
        fast_burn=fast,
    )
