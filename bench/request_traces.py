"""Seeded traces for the replay, and the ideal queues they compare with."""

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
    """Poisson arrivals of exponential short work at ``load``."""
    rng = random.Random(f'{seed}-{service}-{begin}')
    rate = load * slots / MEAN_SHORT_S
    found = []
    now = begin
    while True:
        now += rng.expovariate(rate)
        if now >= begin + seconds:
            return found
        found.append(
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
    wrong_share: float = 0.1,
    customers: int = 20,
) -> tuple[list[replay.Arrival], list[replay.Arrival]]:
    """Return a trace with long work, and the same without it.

    ``wrong_share`` of the kinds (operation and customer) declare the other
    class. ``load`` counts short and long work together; the times of arrival
    are scaled so that the trace has exactly this load, because the few long
    runs would otherwise let it vary by several percent between seeds.
    """
    rng = random.Random(seed)
    mean = MEAN_SHORT_S * (1.0 - long_share + long_share * LONG_FACTOR)
    rate = load * slots / mean
    wrong = {
        (operation, f'customer-{number}')
        for operation in ('look-up', 'recode')
        for number in range(customers)
        if rng.random() < wrong_share
    }
    both: list[replay.Arrival] = []
    without: list[replay.Arrival] = []
    now = 0.0
    while True:
        now += rng.expovariate(rate)
        if now >= seconds:
            work_s = sum(arrival.run_s for arrival in both)
            scale = work_s / (load * slots * seconds)
            for arrival in both + without:
                arrival.time *= scale
            return both, without
        long = rng.random() < long_share
        run_s = rng.expovariate(1.0 / MEAN_SHORT_S)
        operation = 'recode' if long else 'look-up'
        customer = f'customer-{rng.randrange(customers)}'
        declares_long = long ^ ((operation, customer) in wrong)
        arrival = replay.Arrival(
            now,
            run_s * (LONG_FACTOR if long else 1.0),
            operation=operation,
            customer=customer,
            declared=(
                schema.WorkClass.LONG
                if declares_long
                else schema.WorkClass.SHORT
            ),
            long=long,
        )
        both.append(arrival)
        if not long:
            without.append(
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

    The queue knows at once when a slot gets free. ``hop`` is the delay
    between queue and target, each way; with ``hold_hops`` a slot is in use
    for the hops too. The caller's hops count in the response.
    """
    free = [0.0] * slots
    found = []
    for arrival in arrivals:
        ready = arrival.time + client
        start = max(ready, heapq.heappop(free))
        run = arrival.run_s + (2 * hop if hold_hops else 0.0)
        heapq.heappush(free, start + run)
        answered = start + arrival.run_s + 2 * hop + client
        found.append((start - arrival.time, answered - arrival.time))
    return found


def quantile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
