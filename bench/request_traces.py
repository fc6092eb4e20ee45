"""Seeded request traces, and an ideal queue to compare replays with."""

from __future__ import annotations

import heapq
import random

from verbenastream.version.documents import schema
from verbenastream_testing import request_replay as replay

MEAN_SHORT_S = 0.05
LONG_FACTOR = 100.0


def short_only(
    seed: int,
    load: float,
    slots: int,
    seconds: float,
    service: str = 'product',
    deadline_s: float = 600.0,
    begin: float = 0.0,
    customers: int = 20,
) -> list[replay.Arrival]:
    """Return Poisson arrivals of short work with exponential run times.

    ``load`` is the share of the slots in use.
    """
    rng = random.Random(f'{seed}-{service}-{begin}')
    rate = load * slots / MEAN_SHORT_S
    arrivals = []
    now = begin
    while True:
        now += rng.expovariate(rate)
        if now >= begin + seconds:
            return arrivals
        arrivals.append(
            replay.Arrival(
                now,
                rng.expovariate(1.0 / MEAN_SHORT_S),
                service=service,
                customer=f'customer-{rng.randrange(customers)}',
                deadline_s=deadline_s,
            )
        )


def mixed(
    seed: int,
    load: float,
    slots: int,
    seconds: float,
    long_share: float = 0.02,
    misdeclared_share: float = 0.1,
    customers: int = 20,
) -> tuple[list[replay.Arrival], list[replay.Arrival]]:
    """Return a trace with short and long work, and only its short work.

    ``misdeclared_share`` of the pairs of operation and customer declare the
    wrong work class. ``load`` counts short and long work together. Arrival
    times are scaled so that the trace has exactly this load; with so few
    long runs it would otherwise vary by several percent between seeds.
    """
    rng = random.Random(seed)
    mean_run_s = MEAN_SHORT_S * (1.0 - long_share + long_share * LONG_FACTOR)
    rate = load * slots / mean_run_s
    misdeclared = {
        (operation, f'customer-{number}')
        for operation in ('look-up', 'recode')
        for number in range(customers)
        if rng.random() < misdeclared_share
    }
    all_arrivals: list[replay.Arrival] = []
    short_arrivals: list[replay.Arrival] = []
    now = 0.0
    while True:
        now += rng.expovariate(rate)
        if now >= seconds:
            total_run_s = sum(arrival.run_s for arrival in all_arrivals)
            time_factor = total_run_s / (load * slots * seconds)
            for arrival in all_arrivals + short_arrivals:
                arrival.time *= time_factor
            return all_arrivals, short_arrivals
        is_long = rng.random() < long_share
        run_s = rng.expovariate(1.0 / MEAN_SHORT_S)
        operation = 'recode' if is_long else 'look-up'
        customer = f'customer-{rng.randrange(customers)}'
        declares_long = is_long ^ ((operation, customer) in misdeclared)
        arrival = replay.Arrival(
            now,
            run_s * (LONG_FACTOR if is_long else 1.0),
            operation=operation,
            customer=customer,
            declared=(
                schema.WorkClass.LONG
                if declares_long
                else schema.WorkClass.SHORT
            ),
            long=is_long,
        )
        all_arrivals.append(arrival)
        if not is_long:
            short_arrivals.append(
                replay.Arrival(
                    now,
                    run_s,
                    operation=operation,
                    customer=customer,
                    declared=arrival.declared,
                )
            )


def fifo(
    arrivals: list[replay.Arrival],
    slots: int,
    hop: float,
    client: float,
    hold_hops: bool = False,
) -> list[tuple[float, float]]:
    """Return (wait, response) of each arrival in one shared FIFO queue.

    The queue knows without delay when a slot becomes free. ``hop`` is the
    delay between queue and target, each way; with ``hold_hops`` a slot stays
    in use during both hops. ``client`` is the delay between caller and
    queue, each way, and counts in the response.
    """
    free_at = [0.0] * slots
    times = []
    for arrival in arrivals:
        queued_at = arrival.time + client
        started_at = max(queued_at, heapq.heappop(free_at))
        occupied_s = arrival.run_s + (2 * hop if hold_hops else 0.0)
        heapq.heappush(free_at, started_at + occupied_s)
        answered = started_at + arrival.run_s + 2 * hop + client
        times.append((started_at - arrival.time, answered - arrival.time))
    return times


def quantile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
