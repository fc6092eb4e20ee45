"""Replays a trace on virtual time in one process.

``request_replay`` drives the dispatchers of the entries; this module passes
the events of a trace to it and returns a verdict on the result.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from verbenastream.process import traces
from verbenastream.request import claims
from verbenastream_testing import request_replay
from verbenastream_testing import verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

_NETWORKS = {
    'codigos-claros': request_replay.MEXICO,
    'soil-carbon-verifiers': request_replay.GHANA,
}
_WORKERS_PER_SERVICE = 6
# A lost target refuses connections, which entries see as immediate failures.
_LOST_TARGET_FAULT = 'fail'


class VirtualReplay:
    """One replay of a trace; the same trace and seed give the same result."""

    def __init__(
        self,
        header: traces.Header,
        events: Iterable[traces.Event],
        entries: int = 12,
    ) -> None:
        self._events = list(events)
        self._arrivals_by_id = self._read_arrivals()
        services = sorted(
            {work.service for work in self._arrivals_by_id.values()}
        )
        self._replay = request_replay.Replay(
            list(self._arrivals_by_id.values()),
            _NETWORKS.get(header.deployment, request_replay.MEXICO),
            entries=entries,
            services=dict.fromkeys(services, _WORKERS_PER_SERVICE),
            seed=header.seed or 1,
        )
        self._schedule_failures()

    def run(self) -> verdict.Verdict:
        """Run until every request has ended; return the verdict."""
        self._replay.run()
        count_by_outcome = collections.Counter(
            work.outcome for work in self._arrivals_by_id.values()
        )
        overrun = [
            str(name)
            for name, target in self._replay.targets.items()
            if target.overruns
        ]
        return verdict.Verdict(
            sent=len(self._arrivals_by_id),
            answered=count_by_outcome[claims.Outcome.RAN],
            not_run=count_by_outcome[claims.Outcome.NOT_RUN],
            unknown=count_by_outcome[claims.Outcome.UNKNOWN],
            not_sent=0,
            lost=self._names_where(lambda work: work.outcome is None),
            run_twice=self._names_where(
                lambda work: not work.idempotent and work.runs > 1
            ),
            false_not_run=self._names_where(
                lambda work: (
                    work.outcome is claims.Outcome.NOT_RUN and work.runs > 0
                )
            ),
            mixed_up=(),
            overrun=tuple(overrun),
            two_pools=(),
            unfinished=(),
        )

    def _names_where(self, condition) -> tuple[str, ...]:
        return tuple(
            name
            for name, work in self._arrivals_by_id.items()
            if condition(work)
        )

    def _read_arrivals(self) -> dict[str, request_replay.Arrival]:
        arrivals: dict[str, request_replay.Arrival] = {}
        for event in self._events:
            match event:
                case traces.Arrival():
                    arrivals[event.id] = request_replay.Arrival(
                        time=event.at,
                        run_s=event.run_s or 0.0,
                        service=event.service,
                        operation=event.operation,
                        customer=event.customer,
                        declared=event.declared,
                        deadline_s=event.deadline_s,
                        idempotent=event.idempotent and not event.keyed,
                    )
                case traces.Cancellation(at=at, id=name) if name in arrivals:
                    arrivals[name].cancel_at = at
        return arrivals

    def _schedule_failures(self) -> None:
        """Schedule target failures for the failures in the trace.

        The replay has one rack per worker, so a lost instance or rack is
        replayed as one worker of each service, a data centre as a third.
        """
        targets = list(self._replay.targets.values())
        for event in self._events:
            if not isinstance(event, traces.Failure):
                continue
            if event.domain is traces.Domain.DATA_CENTRE:
                affected = [
                    target for target in targets if target.data_centre == 0
                ]
            else:
                position = sum(event.name.encode()) % _WORKERS_PER_SERVICE
                affected = targets[position::_WORKERS_PER_SERVICE]
            self._set_fault(event.at, affected, _LOST_TARGET_FAULT)
            if event.until is not None:
                self._set_fault(event.until, affected, '')

    def _set_fault(
        self, at: float, targets: list[request_replay.Target], fault: str
    ) -> None:
        def set_fault() -> None:
            for target in targets:
                target.fault = fault

        self._replay.schedule(self._replay.start + at, set_fault)
