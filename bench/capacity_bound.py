"""Lower bounds and baselines of the capacity figures."""

from __future__ import annotations

import collections
import math
import random
from typing import TYPE_CHECKING

import highspy

from bench import capacity_trace
from verbenastream.version.maintenance import windows
from verbenastream.version.planning import requirements

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.version.documents import schema


def least_buffer(trace: capacity_trace.Trace, in_maintenance: int) -> int:
    """Return the fewest buffer instances, exactly, by integer programming.

    They leave every pool its commitment after the loss of any rack, and
    after the loss of any data centre all but what a full budget pays for
    during an hour. ``in_maintenance`` instances are away on top.
    """
    racks = collections.Counter(
        (record.data_centre, record.rack) for record in trace.records.values()
    )
    model = highspy.Highs()
    model.silent()
    placed = {
        (service, rack): model.addIntegral(lb=0, ub=size)
        for service in trace.documents
        for rack, size in racks.items()
    }
    for rack, size in racks.items():
        model.addConstr(
            model.qsum(placed[service, rack] for service in trace.documents)
            <= size
        )
    for service, document in trace.documents.items():
        for lost in racks:
            model.addConstr(
                model.qsum(
                    placed[service, rack] for rack in racks if rack != lost
                )
                >= document.instances
            )
        _add_data_centres(model, placed, racks, document, trace)
    total = model.qsum(placed.values())
    model.minimize(total)
    committed = sum(item.instances for item in trace.documents.values())
    found = round(model.getObjectiveValue())
    return found - committed + in_maintenance


def _add_data_centres(model, placed, racks, document, trace) -> None:
    share = min(
        1.0,
        requirements.budget_s(document) / requirements.DATA_CENTRE_OUTAGE_S,
    )
    for lost in trace.data_centres:
        model.addConstr(
            model.qsum(
                placed[document.service, rack]
                for rack in racks
                if rack[0] != lost
            )
            >= document.instances * (1.0 - share)
        )


def fixed_buffer(trace: capacity_trace.Trace) -> int:
    """Return the buffers with one extra per pool and failure domain.

    The data centre is taken as the domain: with the rack as the domain the
    baseline would be about twice as large and easier to beat.
    """
    return sum(len(item.data_centres) for item in trace.documents.values())


def greedy_moves(trace: capacity_trace.Trace, lasting: bool) -> int:
    """Return the moves of a planner that follows demand at each event.

    Every pool keeps its commitment; what is left of the fleet goes to the
    pools whose demand with headroom is larger, and back when it is not.
    ``lasting`` follows the hourly mean instead of the last measurement.
    """
    documents = trace.documents
    spare = len(trace.records) - sum(
        item.instances for item in documents.values()
    )
    extra: collections.Counter[str] = collections.Counter()
    # Each free instance remembers its last pool, the most recent first.
    free: list[str | None] = [None] * spare
    moves = 0
    for _, event in trace.events:
        if not isinstance(event, capacity_trace.DemandChanged):
            continue
        wanted = {}
        for service, document in documents.items():
            demand = event.demand[service]
            asked = demand.lasting if lasting else demand.now
            asked *= 1.0 + document.headroom
            wanted[service] = max(0, math.ceil(asked) - document.instances)
        for service in documents:
            while extra[service] > wanted[service]:
                extra[service] -= 1
                free.append(service)
        for service in documents:
            while extra[service] < wanted[service] and free:
                if service in free:
                    free.remove(service)
                else:
                    free.pop()
                    moves += 1
                extra[service] += 1
    return moves


def shortest_wave_s(
    documents: dict[str, schema.Document],
    start: float,
    away_s_by_pool: dict[ids.PoolId, list[float]],
    stand_ins: int,
) -> float:
    """Return the least time in which every pool can finish its wave.

    ``away_s_by_pool`` are the times that the instances were really away.
    At most ``max_unavailable`` instances of a pool are away at once, all in
    open windows. A pool of its target size in as many racks would be under
    its commitment after the loss of one more rack, so each instance that is
    away needs one of the ``stand_ins``. Any other limit is left out, which
    makes this a lower bound.
    """
    work = sum(sum(away) for away in away_s_by_pool.values()) / stand_ins
    longest = min(
        _window_time_s(document.maintenance, start, work)
        for document in documents.values()
    )
    for document in documents.values():
        policy = document.maintenance
        away = away_s_by_pool.get(document.pool, [])
        work = max(sum(away) / policy.max_unavailable, max(away, default=0.0))
        longest = max(longest, _window_time_s(policy, start, work))
    return longest


def first_opening_s(
    documents: dict[str, schema.Document], start: float
) -> float:
    """Return the time until the first window of any document opens."""
    return min(
        windows.opens_in_s(document.maintenance, start) or 0.0
        for document in documents.values()
    )


def _window_time_s(
    policy: schema.MaintenancePolicy, start: float, work: float
) -> float:
    """Return how long ``work`` seconds of open window take from ``start``."""
    at = start
    while work > 0:
        left = windows.remaining_s(policy, at)
        if left <= 0:
            at += windows.opens_in_s(policy, at) or 0.0
            continue
        used = min(left, work)
        work -= used
        at += used
    return at - start


def fixed_spent_s(trace: capacity_trace.Trace) -> float:
    """Return the largest share of a budget that fixed buffers spend.

    Each pool holds its commitment and one more per data centre, spread
    over the racks, and never gets another instance.
    """
    rng = random.Random(trace.seed)
    by_rack: dict[tuple[str, str], list[ids.InstanceId]] = {}
    for record in trace.records.values():
        by_rack.setdefault((record.data_centre, record.rack), []).append(
            record.id
        )
    worst = 0.0
    for document in trace.documents.values():
        size = document.instances + len(document.data_centres)
        order = sorted(by_rack)
        rng.shuffle(order)
        held = {
            by_rack[order[position % len(order)]][position // len(order)]
            for position in range(size)
        }
        spent = _spent_s(trace, document, held)
        worst = max(worst, spent / requirements.budget_s(document))
    return worst


def _spent_s(
    trace: capacity_trace.Trace,
    document: schema.Document,
    held: set[ids.InstanceId],
) -> float:
    up = set(held)
    spent = 0.0
    last = trace.start
    for at, event in trace.events:
        lack = document.instances - len(up)
        if lack > 0:
            spent += (at - last) * lack / document.instances
        last = at
        match event:
            case capacity_trace.Down(instances=instances):
                up.difference_update(instances)
            case capacity_trace.Up(instances=instances):
                up.update(held.intersection(instances))
    return spent
