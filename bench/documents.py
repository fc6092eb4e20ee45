"""Time until a document is in force, with real control processes.

Three control processes, 12 entries as clients in this process that renew
through one fault proxy for each control process.
"""

from __future__ import annotations

import asyncio
import math
import pathlib
import random
import tempfile
import time
from typing import TYPE_CHECKING
from typing import TypeVar

import aiohttp
import msgspec

from bench import rows
from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process.control import messages
from verbenastream.process import membership
from verbenastream.process import settings
from verbenastream.process import state
from verbenastream.version import documents
from verbenastream import wire
from verbenastream_testing import deployment
from verbenastream_testing import fault_proxy
from verbenastream_testing import faults
from verbenastream_testing import samples
from verbenastream_testing import supervisor

if TYPE_CHECKING:
    from collections.abc import Sequence

T = TypeVar('T')

_COMMAND = 'python -m bench.run bench.documents'
_ENTRIES = 12
_CALM_SUBMISSIONS = 100
_ROUNDS = 8
_SUBMISSIONS_PER_ROUND = 6
# Submissions of a round are spread over this time after the faults.
_SPREAD_S = 3.0
_PROXY_PORT = 8102
_CUT_ENTRY = 'entry-12'
_RETRY_S = 0.02
_LIMIT_S = 20.0


class _Bench:
    """The deployment, its proxies and the entries."""

    def __init__(
        self, found: deployment.LoopbackDeployment, seed: int
    ) -> None:
        self.found = found
        self.rng = random.Random(seed)
        self.links = faults.Links()
        self.controls = found.control_peers()
        self.proxies = [
            fault_proxy.FaultProxy(
                faults.Party(name),
                (peer.address, _PROXY_PORT),
                (peer.address, peer.port),
                self.links,
                seed,
            )
            for name, peer in self.controls.items()
        ]
        self.session = aiohttp.ClientSession()
        self.base_by_service = {service: 0 for service in _services(found)}

    async def entry(self, name: str, config: settings.EntrySettings) -> None:
        """Renew for ever, as an entry does."""
        client = peers.PeerClient.from_config(
            self.found.deployment, name, settings.TlsOff.OFF
        )
        view = membership.EntryView()
        record = membership.EntryRecord(
            ids.EntryId(name),
            ids.Incarnation(1),
            ids.DataCentreId(config.data_centre),
            config.peers.address,
            config.peers.port,
        )
        proxies = [
            settings.Peer(peer.address, _PROXY_PORT)
            for peer in self.controls.values()
        ]
        current = 0
        try:
            while True:
                request = membership.RenewRequest(
                    record, view.index, view.digest()
                )
                try:
                    reply = await client.call(
                        proxies[current],
                        '/v1/entries/renew',
                        request,
                        membership.RenewReply,
                        timeout_s=1.0,
                    )
                    view.apply(reply)
                except peers.PeerError:
                    current = (current + 1) % len(proxies)
                    await asyncio.sleep(_RETRY_S)
        finally:
            await client.close()

    async def in_force_s(self, number: int) -> float:
        """Submit a changed document; return seconds until it is in force."""
        service = list(self.base_by_service)[number % 5]
        document = msgspec.structs.replace(
            samples.document(self.found.sample, service, 1),
            limits=documents.RequestLimits(max_waiting=number + 1),
        )
        started = time.monotonic()
        result = await self._call(
            'POST',
            f'/v1/documents/{service}',
            {
                'base_revision': str(self.base_by_service[service]),
                'submission_id': f'bench-{number}',
            },
            state.SubmitResult,
            wire.encode(document),
            samples.team_key(service),
        )
        self.base_by_service[service] = result.revision
        query = {'revision': str(result.revision), 'wait_s': '4'}
        while True:
            status = await self._call(
                'GET', f'/v1/in-force/{service}', query, messages.InForce
            )
            if status.in_force:
                return time.monotonic() - started

    async def leader(self) -> str:
        while True:
            for name, peer in self.controls.items():
                try:
                    async with self.session.get(
                        f'http://{peer.address}:{peer.port}/readyz',
                        timeout=aiohttp.ClientTimeout(total=1.0),
                    ) as response:
                        if await response.text() == 'leader\n':
                            return name
                except (aiohttp.ClientError, asyncio.TimeoutError):
                    continue
            await asyncio.sleep(_RETRY_S)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        kind: type[T],
        body: bytes | None = None,
        key: str = '',
    ) -> T:
        deadline = time.monotonic() + _LIMIT_S
        while time.monotonic() < deadline:
            for peer in self.controls.values():
                try:
                    async with self.session.request(
                        method,
                        f'http://{peer.address}:{peer.port}{path}',
                        params=query,
                        data=body,
                        headers={'Authorization': f'Bearer {key}'},
                        timeout=aiohttp.ClientTimeout(
                            total=6.0, sock_connect=0.5
                        ),
                    ) as response:
                        data = await response.read()
                        if response.status == 200:
                            return wire.decode(data, kind)
                        if response.status not in (421, 503, 504):
                            raise RuntimeError(data.decode())
                except (aiohttp.ClientError, asyncio.TimeoutError):
                    continue
            await asyncio.sleep(_RETRY_S)
        raise RuntimeError(f'no answer to {path} in {_LIMIT_S} s')


def _services(found: deployment.LoopbackDeployment) -> Sequence[str]:
    return found.sample.services


async def _faulty_round(
    bench: _Bench, processes: supervisor.Supervisor, first: int
) -> list[float]:
    """Kill the leader and cut one entry's links; return the times."""
    leader = await bench.leader()
    bench.links.isolate(faults.Party(_CUT_ENTRY))
    processes.kill(leader)
    times = []

    async def submit(number: int, after_s: float) -> None:
        await asyncio.sleep(after_s)
        times.append(await bench.in_force_s(number))

    # One service each, so that base revisions do not conflict.
    count = min(_SUBMISSIONS_PER_ROUND, len(bench.base_by_service))
    await asyncio.gather(
        *(
            submit(first + offset, bench.rng.random() * _SPREAD_S)
            for offset in range(count)
        )
    )
    bench.links.isolate(faults.Party(_CUT_ENTRY), faults.HEALTHY)
    _start(bench.found, processes, leader)
    await processes.wait_ready([leader], 20.0)
    await asyncio.sleep(1.0)
    return times


def _start(
    found: deployment.LoopbackDeployment,
    processes: supervisor.Supervisor,
    name: str,
) -> None:
    processes.start(
        name,
        'verbenastream.process.control',
        ['--settings', str(found.settings_file(name))],
        found.control_url(name),
    )


async def _measure(seed: int, folder: pathlib.Path) -> list[list[float]]:
    found = deployment.LoopbackDeployment.from_config(
        samples.MEXICO,
        deployment.Size(3, _ENTRIES, 0),
        folder,
    )
    found.write()
    with supervisor.Supervisor(folder / 'logs') as processes:
        for name in found.controls_by_id:
            _start(found, processes, name)
        await processes.wait_ready(list(found.controls_by_id), 20.0)
        bench = _Bench(found, seed)
        for proxy in bench.proxies:
            await proxy.start()
        tasks = [
            asyncio.create_task(bench.entry(name, config))
            for name, config in found.entries_by_id.items()
        ]
        await asyncio.sleep(1.0)
        calm = [
            await bench.in_force_s(number)
            for number in range(_CALM_SUBMISSIONS)
        ]
        faulty: list[float] = []
        for number in range(_ROUNDS):
            first = _CALM_SUBMISSIONS + number * _SUBMISSIONS_PER_ROUND
            faulty.extend(await _faulty_round(bench, processes, first))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # asyncio 3.11 reports each cancelled connection of a server as an
        # error of its callback.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for proxy in bench.proxies:
            await proxy.stop()
        await bench.session.close()
    return [calm, faulty]


def _quantile(values: Sequence[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[math.ceil(quantile * len(ordered)) - 1]


def run(seed: int) -> list[rows.Row]:
    """Measure in calm and under faults; takes about 45 s."""
    with tempfile.TemporaryDirectory() as folder:
        calm, faulty = asyncio.run(_measure(seed, pathlib.Path(folder)))
    found = []
    for name, values, target in (
        ('calm', calm, 1.0),
        ('leader killed, an entry cut off', faulty, 3.0),
    ):
        label = f'document in force, {name}, {len(values)} submissions'
        for title, value, bound in (
            ('p50', _quantile(values, 0.5), None),
            ('p99', _quantile(values, 0.99), target),
        ):
            found.append(
                rows.Row(
                    f'{label}: {title}',
                    value,
                    's',
                    None,
                    bound,
                    rows.Bound.AT_MOST,
                    seed,
                    f'{_COMMAND} --seed {seed}',
                )
            )
    return found
