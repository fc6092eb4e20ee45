"""Durable claims through real control processes, as entries send them.

Three control processes with their disks, 12 entries in this process. Keyed
requests arrive open-loop at a fixed rate; each entry keeps one call open and
sends what waits meanwhile in the next one, as the entry daemon does. The
latency of a claim counts from its arrival.
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
_SECONDS = 10
_WARM_UP_S = 2
_RATES = (250, 1_000)
_TARGET_P99_MS = 20.0


class _Entry:
    """Claims of one entry."""

    def __init__(
        self,
        found: deployment.LoopbackDeployment,
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
            found.deployment, config.id, settings.TlsOff.OFF
        )
        self.leader = leader
        self.waiting: list[tuple[claims.Claim, float]] = []
        self.arrived = asyncio.Event()
        self.latencies: list[float] = []
        self.refused = 0

    async def renew(self) -> None:
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

    def claim(self, number: int, arrived_at: float) -> None:
        claim = claims.Claim(
            ids.CustomerId('customer'),
            ids.IdempotencyKey(f'key-{number}'),
            'd' * 64,
            ids.ServiceId('service'),
            self.record.id,
            self.record.incarnation,
            ids.RequestId(f'request-{number}'),
        )
        self.waiting.append((claim, arrived_at))
        self.arrived.set()

    async def send(self) -> None:
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            while self.waiting:
                taken, self.waiting = self.waiting, []
                batch = claims.ClaimBatch(tuple(claim for claim, _ in taken))
                reply = await self.client.call(
                    self.leader,
                    '/v1/claims',
                    batch,
                    claims.ClaimBatchReply,
                    timeout_s=5.0,
                )
                now = time.monotonic()
                for (_, arrived_at), result in zip(taken, reply.replies):
                    if result.state is not claims.ClaimState.GRANTED:
                        self.refused += 1
                    self.latencies.append(now - arrived_at)


async def _offer(
    entries: list[_Entry], rate: int, rng: random.Random, first: int
) -> int:
    """Send claims at ``rate`` per second; return the count."""
    number = first
    started = at = time.monotonic()
    while at < started + _WARM_UP_S + _SECONDS:
        at += rng.expovariate(rate)
        delay = at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        rng.choice(entries).claim(number, at)
        number += 1
        if number - first == rate * _WARM_UP_S:
            for entry in entries:
                entry.latencies.clear()
    while any(entry.waiting for entry in entries):
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    return number


async def _measure(
    seed: int, folder: pathlib.Path
) -> list[tuple[int, list[float], int, float]]:
    found = deployment.LoopbackDeployment.from_config(
        samples.MEXICO, deployment.Size(3, _ENTRIES, 0), folder
    )
    found.write()
    rng = random.Random(seed)
    measured = []
    with supervisor.Supervisor(folder / 'logs') as processes:
        for name in found.controls_by_id:
            processes.start(
                name,
                'verbenastream.process.control',
                ['--settings', str(found.settings_file(name))],
                found.control_url(name),
            )
        await processes.wait_ready(list(found.controls_by_id), 20.0)
        leader = await _leader(found)
        entries = [
            _Entry(found, config, leader)
            for config in found.entries_by_id.values()
        ]
        tasks = [asyncio.create_task(entry.renew()) for entry in entries]
        await asyncio.sleep(1.0)
        tasks.extend(asyncio.create_task(entry.send()) for entry in entries)
        number = 0
        for rate in _RATES:
            number = await _offer(entries, rate, rng, number)
            latencies = [
                value for entry in entries for value in entry.latencies
            ]
            refused = sum(entry.refused for entry in entries)
            at_leader_s = await _at_leader(leader)
            measured.append((rate, latencies, refused, at_leader_s))
            for entry in entries:
                entry.latencies.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for entry in entries:
            await entry.client.close()
    return measured


async def _at_leader(leader: settings.Peer) -> float:
    """Return the p99 of claim calls since the start, by the leader."""
    name = b'verbenastream_claim_seconds{quantile="0.99"} '
    async with aiohttp.ClientSession() as session:
        async with session.get(
            f'http://{leader.address}:{leader.port}/metrics'
        ) as response:
            for line in (await response.read()).splitlines():
                if line.startswith(name):
                    return float(line[len(name) :])
    return 0.0


async def _leader(found: deployment.LoopbackDeployment) -> settings.Peer:
    """Return the address of the leader."""
    client = peers.PeerClient.from_config(
        found.deployment, 'bench', settings.TlsOff.OFF
    )
    try:
        while True:
            for peer in found.control_peers().values():
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
    """Measure each rate; takes about 30 s."""
    with tempfile.TemporaryDirectory() as folder:
        measured = asyncio.run(_measure(seed, pathlib.Path(folder)))
    found = []
    for rate, latencies, refused, at_leader_s in measured:
        ordered = sorted(latencies)
        p99 = ordered[math.ceil(0.99 * len(ordered)) - 1] * 1e3
        label = f'durable claims over HTTP, {rate}/s offered'
        for name, value, unit, target in (
            ('granted', len(ordered) / _SECONDS, '1/s', None),
            ('p50', ordered[len(ordered) // 2] * 1e3, 'ms', None),
            ('p99', p99, 'ms', _TARGET_P99_MS),
            ('p99 at the leader', at_leader_s * 1e3, 'ms', None),
            ('refused', float(refused), '', 0.0),
        ):
            found.append(
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
    return found
