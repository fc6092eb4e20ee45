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


def min_buffer_instances(
    trace: capacity_trace.Trace, in_maintenance: int
) -> int:
    """Return the minimum number of buffer instances by integer programming.

    Every pool keeps its commitment after the loss of any rack. After the
    loss of any data centre, its shortfall during an hour must fit into an
    unspent error budget. ``in_maintenance`` instances are added to the
    result.
    """
    rack_sizes = collections.Counter(
        (record.data_centre, record.rack) for record in trace.records.values()
    )
    model = highspy.Highs()
    model.silent()
    assigned = {
        (service, rack): model.addIntegral(lb=0, ub=size)
        for service in trace.documents
        for rack, size in rack_sizes.items()
    }
    for rack, size in rack_sizes.items():
        model.addConstr(
            model.qsum(assigned[service, rack] for service in trace.documents)
            <= size
        )
    for service, document in trace.documents.items():
        for lost_rack in rack_sizes:
            model.addConstr(
                model.qsum(
                    assigned[service, rack]
                    for rack in rack_sizes
                    if rack != lost_rack
                )
                >= document.instances
            )
        _add_data_centre_constraints(
            model, assigned, rack_sizes, document, trace
        )
    assigned_total = model.qsum(assigned.values())
    model.minimize(assigned_total)
    committed_instances = sum(
        item.instances for item in trace.documents.values()
    )
    total_instances = round(model.getObjectiveValue())
    return total_instances - committed_instances + in_maintenance


def _add_data_centre_constraints(
    model, assigned, racks, document, trace
) -> None:
    tolerated_share = min(
        1.0,
        requirements.budget_s(document) / requirements.DATA_CENTRE_OUTAGE_S,
    )
    for lost_data_centre in trace.data_centres:
        model.addConstr(
            model.qsum(
                assigned[document.service, rack]
                for rack in racks
                if rack[0] != lost_data_centre
            )
            >= document.instances * (1.0 - tolerated_share)
        )


def fixed_buffer_instances(trace: capacity_trace.Trace) -> int:
    """Return the buffer of one extra instance per pool and failure domain.

    The failure domain is the data centre: with the rack as the domain the
    baseline would be about twice as large and easier to beat.
    """
    return sum(len(item.data_centres) for item in trace.documents.values())


def count_greedy_moves(
    trace: capacity_trace.Trace, use_lasting_demand: bool
) -> int:
    """Return the moves of a planner that follows demand at each event.

    Every pool keeps its commitment. The rest of the fleet is assigned to the
    pools whose demand with headroom exceeds it, and released when the demand
    falls. ``use_lasting_demand`` follows the hourly mean instead of the last
    measurement.
    """
    documents = trace.documents
    free_count = len(trace.records) - sum(
        item.instances for item in documents.values()
    )
    extra_by_service: collections.Counter[str] = collections.Counter()
    # The last pool of each free instance, the most recently released last.
    last_pools_of_free: list[str | None] = [None] * free_count
    moves = 0
    for _, event in trace.events:
        if not isinstance(event, capacity_trace.DemandChanged):
            continue
        wanted_by_service = {}
        for service, document in documents.items():
            demand = event.demand[service]
            demand_with_headroom = (
                demand.lasting if use_lasting_demand else demand.now
            )
            demand_with_headroom *= 1.0 + document.headroom
            wanted_by_service[service] = max(
                0, math.ceil(demand_with_headroom) - document.instances
            )
        for service in documents:
            while extra_by_service[service] > wanted_by_service[service]:
                extra_by_service[service] -= 1
                last_pools_of_free.append(service)
        for service in documents:
            while (
                extra_by_service[service] < wanted_by_service[service]
                and last_pools_of_free
            ):
                if service in last_pools_of_free:
                    last_pools_of_free.remove(service)
                else:
                    last_pools_of_free.pop()
                    moves += 1
                extra_by_service[service] += 1
    return moves


def wave_lower_bound_s(
    documents: dict[str, schema.Document],
    start: float,
    unavailable_s_by_pool: dict[ids.PoolId, list[float]],
    replacements: int,
) -> float:
    """Return a lower bound of the time in which all pools finish a wave.

    ``unavailable_s_by_pool`` holds the measured time of each instance in
    maintenance.
    At most ``max_unavailable`` instances of a pool are unavailable at once,
    all in open windows. A pool of its target size, with one instance per
    rack, would be under its commitment after the loss of one more rack, so
    each unavailable instance needs one of the ``replacements``. No other
    limit is considered, so this is a lower bound.
    """
    required_s = (
        sum(
            sum(unavailable_s)
            for unavailable_s in unavailable_s_by_pool.values()
        )
        / replacements
    )
    bound_s = min(
        _elapsed_for_window_time_s(document.maintenance, start, required_s)
        for document in documents.values()
    )
    for document in documents.values():
        policy = document.maintenance
        unavailable_s = unavailable_s_by_pool.get(document.pool, [])
        required_s = max(
            sum(unavailable_s) / policy.max_unavailable,
            max(unavailable_s, default=0.0),
        )
        bound_s = max(
            bound_s, _elapsed_for_window_time_s(policy, start, required_s)
        )
    return bound_s


def first_window_opens_in_s(
    documents: dict[str, schema.Document], start: float
) -> float:
    """Return the time until the first window of any document opens."""
    return min(
        windows.opens_in_s(document.maintenance, start) or 0.0
        for document in documents.values()
    )


def _elapsed_for_window_time_s(
    policy: schema.MaintenancePolicy, start: float, remaining_work_s: float
) -> float:
    """Return the time from ``start`` that contains this much open window."""
    now = start
    while remaining_work_s > 0:
        open_s = windows.remaining_s(policy, now)
        if open_s <= 0:
            now += windows.opens_in_s(policy, now) or 0.0
            continue
        used_s = min(open_s, remaining_work_s)
        remaining_work_s -= used_s
        now += used_s
    return now - start


def fixed_buffer_budget_share(trace: capacity_trace.Trace) -> float:
    """Return the largest share of an error budget spent with fixed buffers.

    Each pool has its commitment and one more instance per data centre,
    spread over the racks, and never gets a replacement.
    """
    rng = random.Random(trace.seed)
    by_rack: dict[tuple[str, str], list[ids.InstanceId]] = {}
    for record in trace.records.values():
        by_rack.setdefault((record.data_centre, record.rack), []).append(
            record.id
        )
    max_share = 0.0
    for document in trace.documents.values():
        size = document.instances + len(document.data_centres)
        racks = sorted(by_rack)
        rng.shuffle(racks)
        pool_instances = {
            by_rack[racks[position % len(racks)]][position // len(racks)]
            for position in range(size)
        }
        spent_s = _budget_spent_s(trace, document, pool_instances)
        max_share = max(max_share, spent_s / requirements.budget_s(document))
    return max_share


def _budget_spent_s(
    trace: capacity_trace.Trace,
    document: schema.Document,
    pool_instances: set[ids.InstanceId],
) -> float:
    running = set(pool_instances)
    spent_s = 0.0
    previous_at = trace.start
    for at, event in trace.events:
        shortfall = document.instances - len(running)
        if shortfall > 0:
            spent_s += (at - previous_at) * shortfall / document.instances
        previous_at = at
        match event:
            case capacity_trace.InstancesDown(instances=instances):
                running.difference_update(instances)
            case capacity_trace.InstancesUp(instances=instances):
                running.update(pool_instances.intersection(instances))
    return spent_s
