"""Time until a document is in force, with real control processes.

There are three control processes. This process emulates 12 entries, which
renew their leases through one fault proxy per control process.
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
_FAULTY_ROUNDS = 8
_SUBMISSIONS_PER_ROUND = 6
# The submissions of a round are spread over this time after the faults.
_SUBMISSION_SPREAD_S = 3.0
_PROXY_PORT = 8102
_ISOLATED_ENTRY = 'entry-12'
_RETRY_S = 0.02
_CALL_TIMEOUT_S = 20.0


class _Environment:
    """Client of a deployment, with its fault proxies and emulated entries."""

    def __init__(
        self, layout: deployment.LoopbackDeployment, seed: int
    ) -> None:
        self.layout = layout
        self.rng = random.Random(seed)
        self.links = faults.Links()
        self.controls = layout.control_peers()
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
        self.base_revision_by_service = {
            service: 0 for service in _services(layout)
        }

    async def renew_as_entry(
        self, name: str, config: settings.EntrySettings
    ) -> None:
        """Renew the lease of an emulated entry until cancelled."""
        client = peers.PeerClient.from_config(
            self.layout.deployment, name, settings.TlsOff.OFF
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
        proxy_index = 0
        try:
            while True:
                request = membership.RenewRequest(
                    record, view.index, view.digest()
                )
                try:
                    reply = await client.call(
                        proxies[proxy_index],
                        '/v1/entries/renew',
                        request,
                        membership.RenewReply,
                        timeout_s=1.0,
                    )
                    view.apply(reply)
                except peers.PeerError:
                    proxy_index = (proxy_index + 1) % len(proxies)
                    await asyncio.sleep(_RETRY_S)
        finally:
            await client.close()

    async def measure_in_force_s(self, number: int) -> float:
        """Submit a changed document; return seconds until it is in force."""
        service = list(self.base_revision_by_service)[number % 5]
        document = msgspec.structs.replace(
            samples.document(self.layout.sample, service, 1),
            limits=documents.RequestLimits(max_waiting=number + 1),
        )
        started_at = time.monotonic()
        result = await self._call(
            'POST',
            f'/v1/documents/{service}',
            {
                'base_revision': str(self.base_revision_by_service[service]),
                'submission_id': f'bench-{number}',
            },
            state.SubmitResult,
            wire.encode(document),
            samples.team_key(service),
        )
        self.base_revision_by_service[service] = result.revision
        query = {'revision': str(result.revision), 'wait_s': '4'}
        while True:
            status = await self._call(
                'GET', f'/v1/in-force/{service}', query, messages.InForce
            )
            if status.in_force:
                return time.monotonic() - started_at

    async def find_leader(self) -> str:
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
        reply_type: type[T],
        body: bytes | None = None,
        key: str = '',
    ) -> T:
        deadline = time.monotonic() + _CALL_TIMEOUT_S
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
                            return wire.decode(data, reply_type)
                        if response.status not in (421, 503, 504):
                            raise RuntimeError(data.decode())
                except (aiohttp.ClientError, asyncio.TimeoutError):
                    continue
            await asyncio.sleep(_RETRY_S)
        raise RuntimeError(f'no answer to {path} in {_CALL_TIMEOUT_S} s')


def _services(layout: deployment.LoopbackDeployment) -> Sequence[str]:
    return layout.sample.services


async def _run_faulty_round(
    environment: _Environment,
    processes: supervisor.Supervisor,
    first_number: int,
) -> list[float]:
    """Kill the leader, isolate an entry and submit documents.

    Return the seconds until each document is in force.
    """
    leader = await environment.find_leader()
    environment.links.isolate(faults.Party(_ISOLATED_ENTRY))
    processes.kill(leader)
    times_s = []

    async def submit(number: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        times_s.append(await environment.measure_in_force_s(number))

    # At most one submission per service, so that base revisions do not
    # conflict.
    count = min(
        _SUBMISSIONS_PER_ROUND, len(environment.base_revision_by_service)
    )
    await asyncio.gather(
        *(
            submit(
                first_number + offset,
                environment.rng.random() * _SUBMISSION_SPREAD_S,
            )
            for offset in range(count)
        )
    )
    environment.links.isolate(faults.Party(_ISOLATED_ENTRY), faults.HEALTHY)
    _start_control(environment.layout, processes, leader)
    await processes.wait_ready([leader], 20.0)
    await asyncio.sleep(1.0)
    return times_s


def _start_control(
    layout: deployment.LoopbackDeployment,
    processes: supervisor.Supervisor,
    name: str,
) -> None:
    processes.start(
        name,
        'verbenastream.process.control',
        ['--settings', str(layout.settings_file(name))],
        layout.control_url(name),
    )


async def _measure(seed: int, folder: pathlib.Path) -> list[list[float]]:
    layout = deployment.LoopbackDeployment.from_config(
        samples.MEXICO,
        deployment.Size(3, _ENTRIES, 0),
        folder,
    )
    layout.write()
    with supervisor.Supervisor(folder / 'logs') as processes:
        for name in layout.controls_by_id:
            _start_control(layout, processes, name)
        await processes.wait_ready(list(layout.controls_by_id), 20.0)
        environment = _Environment(layout, seed)
        for proxy in environment.proxies:
            await proxy.start()
        tasks = [
            asyncio.create_task(environment.renew_as_entry(name, config))
            for name, config in layout.entries_by_id.items()
        ]
        await asyncio.sleep(1.0)
        healthy_s = [
            await environment.measure_in_force_s(number)
            for number in range(_CALM_SUBMISSIONS)
        ]
        faulty_s: list[float] = []
        for number in range(_FAULTY_ROUNDS):
            first_number = _CALM_SUBMISSIONS + number * _SUBMISSIONS_PER_ROUND
            faulty_s.extend(
                await _run_faulty_round(environment, processes, first_number)
            )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # asyncio 3.11 reports each cancelled connection of a server as an
        # error of its callback.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for proxy in environment.proxies:
            await proxy.stop()
        await environment.session.close()
    return [healthy_s, faulty_s]


def _quantile(values: Sequence[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[math.ceil(quantile * len(ordered)) - 1]


def run(seed: int) -> list[rows.Row]:
    """Measure without and with faults; takes about 45 s."""
    with tempfile.TemporaryDirectory() as folder:
        healthy_s, faulty_s = asyncio.run(_measure(seed, pathlib.Path(folder)))
    result = []
    for name, values, target in (
        ('calm', healthy_s, 1.0),
        ('leader killed, an entry cut off', faulty_s, 3.0),
    ):
        label = f'document in force, {name}, {len(values)} submissions'
        for quantile_name, value, row_target in (
            ('p50', _quantile(values, 0.5), None),
            ('p99', _quantile(values, 0.99), target),
        ):
            result.append(
                rows.Row(
                    f'{label}: {quantile_name}',
                    value,
                    's',
                    None,
                    row_target,
                    rows.Bound.AT_MOST,
                    seed,
                    f'{_COMMAND} --seed {seed}',
                )
            )
    return result
