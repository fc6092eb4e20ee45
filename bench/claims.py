"""Durable claims through real control processes, as entries send them.

Three control processes write to disk; this process emulates 12 entries. Keyed
requests arrive open-loop at a fixed mean rate. Like the entry daemon, each
entry has one call in flight and sends the claims that arrive meanwhile in the
next one. The latency of a claim counts from its arrival.
"""

from __future__ import annotations

import asyncio
import math
import pathlib
import random
import tempfile
import time

import aiohttp

from bench import rows
from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process import membership
from verbenastream.process import settings
from verbenastream.request import claims
from verbenastream_testing import deployment
from verbenastream_testing import samples
from verbenastream_testing import supervisor

_COMMAND = 'python -m bench.run bench.claims'
_ENTRIES = 12
_MEASURED_S = 10
_WARM_UP_S = 2
_RATES_PER_S = (250, 1_000)
_TARGET_P99_MS = 20.0


class _EmulatedEntry:
    """Sends the claims of one entry in batches."""

    def __init__(
        self,
        layout: deployment.LoopbackDeployment,
        config: settings.EntrySettings,
        leader: settings.Peer,
    ) -> None:
        self.record = membership.EntryRecord(
            ids.EntryId(config.id),
            ids.Incarnation(1),
            ids.DataCentreId(config.data_centre),
            config.peers.address,
            config.peers.port,
        )
        self.client = peers.PeerClient.from_config(
            layout.deployment, config.id, settings.TlsOff.OFF
        )
        self.leader = leader
        self.pending: list[tuple[claims.Claim, float]] = []
        self.claim_arrived = asyncio.Event()
        self.latencies_s: list[float] = []
        self.refused = 0

    async def renew_lease(self) -> None:
        view = membership.EntryView()
        while True:
            reply = await self.client.call(
                self.leader,
                '/v1/entries/renew',
                membership.RenewRequest(
                    self.record, view.index, view.digest()
                ),
                membership.RenewReply,
                timeout_s=5.0,
            )
            view.apply(reply)

    def add_claim(self, number: int, arrived_at: float) -> None:
        claim = claims.Claim(
            ids.CustomerId('customer'),
            ids.IdempotencyKey(f'key-{number}'),
            'd' * 64,
            ids.ServiceId('service'),
            self.record.id,
            self.record.incarnation,
            ids.RequestId(f'request-{number}'),
        )
        self.pending.append((claim, arrived_at))
        self.claim_arrived.set()

    async def send_batches(self) -> None:
        while True:
            await self.claim_arrived.wait()
            self.claim_arrived.clear()
            while self.pending:
                batch_items, self.pending = self.pending, []
                batch = claims.ClaimBatch(
                    tuple(claim for claim, _ in batch_items)
                )
                reply = await self.client.call(
                    self.leader,
                    '/v1/claims',
                    batch,
                    claims.ClaimBatchReply,
                    timeout_s=5.0,
                )
                now = time.monotonic()
                for (_, arrived_at), result in zip(batch_items, reply.replies):
                    if result.state is not claims.ClaimState.GRANTED:
                        self.refused += 1
                    self.latencies_s.append(now - arrived_at)


async def _generate_load(
    entries: list[_EmulatedEntry],
    rate: int,
    rng: random.Random,
    first_number: int,
) -> int:
    """Add claims at ``rate`` per second; return the next free number."""
    number = first_number
    started_at = arrives_at = time.monotonic()
    while arrives_at < started_at + _WARM_UP_S + _MEASURED_S:
        arrives_at += rng.expovariate(rate)
        delay = arrives_at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        rng.choice(entries).add_claim(number, arrives_at)
        number += 1
        if number - first_number == rate * _WARM_UP_S:
            for entry in entries:
                entry.latencies_s.clear()
    while any(entry.pending for entry in entries):
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    return number


async def _measure(
    seed: int, folder: pathlib.Path
) -> list[tuple[int, list[float], int, float]]:
    layout = deployment.LoopbackDeployment.from_config(
        samples.MEXICO, deployment.Size(3, _ENTRIES, 0), folder
    )
    layout.write()
    rng = random.Random(seed)
    measured = []
    with supervisor.Supervisor(folder / 'logs') as processes:
        for name in layout.controls_by_id:
            processes.start(
                name,
                'verbenastream.process.control',
                ['--settings', str(layout.settings_file(name))],
                layout.control_url(name),
            )
        await processes.wait_ready(list(layout.controls_by_id), 20.0)
        leader = await _find_leader(layout)
        entries = [
            _EmulatedEntry(layout, config, leader)
            for config in layout.entries_by_id.values()
        ]
        tasks = [asyncio.create_task(entry.renew_lease()) for entry in entries]
        await asyncio.sleep(1.0)
        tasks.extend(
            asyncio.create_task(entry.send_batches()) for entry in entries
        )
        next_number = 0
        for rate in _RATES_PER_S:
            next_number = await _generate_load(entries, rate, rng, next_number)
            latencies_s = [
                latency_s
                for entry in entries
                for latency_s in entry.latencies_s
            ]
            refused = sum(entry.refused for entry in entries)
            leader_p99_s = await _leader_p99_s(leader)
            measured.append((rate, latencies_s, refused, leader_p99_s))
            for entry in entries:
                entry.latencies_s.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for entry in entries:
            await entry.client.close()
    return measured


async def _leader_p99_s(leader: settings.Peer) -> float:
    """Return the p99 of claim calls since the start from the leader's metrics.

    The value is in seconds.
    """
    name = b'verbenastream_claim_seconds{quantile="0.99"} '
    async with aiohttp.ClientSession() as session:
        async with session.get(
            f'http://{leader.address}:{leader.port}/metrics'
        ) as response:
            for line in (await response.read()).splitlines():
                if line.startswith(name):
                    return float(line[len(name) :])
    return 0.0


async def _find_leader(layout: deployment.LoopbackDeployment) -> settings.Peer:
    """Return the address of the control process that accepts claims."""
    client = peers.PeerClient.from_config(
        layout.deployment, 'bench', settings.TlsOff.OFF
    )
    try:
        while True:
            for peer in layout.control_peers().values():
                try:
                    await client.call(
                        peer,
                        '/v1/claims',
                        claims.ClaimBatch(),
                        claims.ClaimBatchReply,
                        timeout_s=2.0,
                    )
                    return peer
                except peers.PeerError:
                    await asyncio.sleep(0.05)
    finally:
        await client.close()


def run(seed: int) -> list[rows.Row]:
    """Measure the claims at each rate; takes about 30 s."""
    with tempfile.TemporaryDirectory() as folder:
        measured = asyncio.run(_measure(seed, pathlib.Path(folder)))
    result = []
    for rate, latencies_s, refused, leader_p99_s in measured:
        ordered_s = sorted(latencies_s)
        p99_ms = ordered_s[math.ceil(0.99 * len(ordered_s)) - 1] * 1e3
        label = f'durable claims over HTTP, {rate}/s offered'
        for name, value, unit, target in (
            ('granted', len(ordered_s) / _MEASURED_S, '1/s', None),
            ('p50', ordered_s[len(ordered_s) // 2] * 1e3, 'ms', None),
            ('p99', p99_ms, 'ms', _TARGET_P99_MS),
            ('p99 at the leader', leader_p99_s * 1e3, 'ms', None),
            ('refused', float(refused), '', 0.0),
        ):
            result.append(
                rows.Row(
                    f'{label}: {name}',
                    value,
                    unit,
                    None,
                    target,
                    rows.Bound.AT_MOST,
                    seed,
                    f'{_COMMAND} --seed {seed}',
                )
            )
    return result
