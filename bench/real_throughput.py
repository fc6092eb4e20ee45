"""One entry process against a bare aiohttp pass-through, in turn."""

from __future__ import annotations

import asyncio
import json
import sys

from bench import rows
from verbenastream.process import settings
from verbenastream_testing import cluster as clusters
from verbenastream_testing import deployment
from verbenastream_testing import fake_target
from verbenastream_testing import latency
from verbenastream_testing import operator_client
from verbenastream_testing import pass_through
from verbenastream_testing import samples
from verbenastream_testing import target_settings
from verbenastream_testing import trial
from verbenastream_testing import world

_COMMAND = 'python -m bench.run bench.real_throughput'
_TARGETS = 6
_ROUNDS = 7
_HAMMERS = 2
_REQUESTS = 1_500
_CALLERS = 16
_SINGLE_REQUESTS = 500
_PORT = 8000
_SERVICE = trial.SAMPLE.services[0]


class _Sides:
    """Entry and pass-through, each with targets of its own."""

    def __init__(self, place: world.World) -> None:
        self._place = place
        customer = trial.SAMPLE.customers[0]
        self.entry_headers = {
            'Authorization': f'Bearer {samples.caller_key(customer)}'
        }
        self.entry_url = ''
        self.pass_url = ''
        self.direct_url = ''

    async def start(self) -> None:
        path = f'/call/{_SERVICE}/{trial.SAMPLE.short_operation}'
        self.entry_url = await self._start_entry() + path
        targets = await self._start_pass_through()
        self.pass_url += path
        self.direct_url = f'{targets[0]}/{trial.SAMPLE.short_operation}'

    async def _start_entry(self) -> str:
        layout = deployment.LoopbackDeployment.from_config(
            trial.SAMPLE,
            deployment.Size(controls=3, entries=1, targets=_TARGETS),
            self._place.folder,
        )
        session = await self._place.session()
        cluster = clusters.Cluster(layout, self._place.processes, session)
        self._place.on_close(cluster.stop)
        await cluster.start()
        operator = operator_client.OperatorClient(layout, session)
        await operator.submit(
            samples.document(trial.SAMPLE, _SERVICE, instances=4), 0
        )
        await cluster.wait_entries()
        await cluster.wait_assigned(4)
        return layout.caller_url('entry-1')

    async def _start_pass_through(self) -> list[str]:
        address = self._place.address()
        self.pass_url = f'http://{address}:{_PORT}'
        configs = [self._target(n, address) for n in range(_TARGETS)]
        urls = [f'http://{found.address}:{_PORT}' for found in configs]
        processes = self._place.processes
        processes.start(
            'pass-through',
            'verbenastream_testing.pass_through',
            [address, str(_PORT), *urls],
            self.pass_url,
        )
        for config, url in zip(configs, urls, strict=True):
            path = self._place.folder / f'{config.id}.json'
            path.write_bytes(target_settings.encode(config))
            processes.start(
                config.id,
                'verbenastream_testing.fake_target',
                ['--settings', str(path)],
                url,
            )
        names = ['pass-through', *(config.id for config in configs)]
        await processes.wait_ready(names, 30.0)
        session = await self._place.session()

        async def told() -> bool:
            for url in urls:
                async with session.get(f'{url}/readyz') as answer:
                    if not (await answer.json())['pool']:
                        return False
            return True

        await world.until('the targets know their pool', told)
        return urls

    def _target(
        self, number: int, entry: str
    ) -> target_settings.TargetSettings:
        name = f'plain-{number + 1}'
        return target_settings.TargetSettings(
            id=name,
            incarnation=1,
            data_centre='mx-1',
            rack='mx-1-rack-1',
            address=self._place.address(),
            port=_PORT,
            deployment=settings.Deployment('plain', '0' * 64),
            entries=(target_settings.EntryAddress('mx-1', entry, _PORT),),
            ledger=str(self._place.folder / f'{name}.jsonl'),
        )


async def _hammer(
    url: str, requests: int, callers: int, headers: dict[str, str]
) -> tuple[float, latency.Histogram]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'verbenastream_testing.hammer',
        url,
        str(requests),
        str(callers),
        *(f'{name}={value}' for name, value in headers.items()),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    found = json.loads(output)
    return found['seconds'], latency.Histogram.decode(found['histogram'])


async def _rate(url: str, headers: dict[str, str]) -> float:
    """Return requests per second of two caller processes together."""
    found = await asyncio.gather(
        *(_hammer(url, _REQUESTS, _CALLERS, headers) for _ in range(_HAMMERS))
    )
    return sum(_REQUESTS / seconds for seconds, _ in found)


async def _p50(url: str, headers: dict[str, str]) -> float:
    _, histogram = await _hammer(url, _SINGLE_REQUESTS, 1, headers)
    return histogram.quantile_s(0.5)


async def _measure(place: world.World, seed: int) -> list[rows.Row]:
    sides = _Sides(place)
    await sides.start()
    direct_headers = {
        fake_target.POOL_HEADER: str(pass_through.POOL),
        fake_target.EPOCH_HEADER: str(pass_through.EPOCH),
    }
    # Warms up connections and estimates on both sides.
    await _rate(sides.pass_url, {})
    await _rate(sides.entry_url, sides.entry_headers)
    throughput = await latency.compare_in_turn(
        lambda: _rate(sides.pass_url, {}),
        lambda: _rate(sides.entry_url, sides.entry_headers),
        _ROUNDS,
    )

    async def added_by_pass() -> float:
        direct = await _p50(sides.direct_url, direct_headers)
        return await _p50(sides.pass_url, {}) - direct

    async def added_by_entry() -> float:
        direct = await _p50(sides.direct_url, direct_headers)
        return await _p50(sides.entry_url, sides.entry_headers) - direct

    added = await latency.compare_in_turn(
        added_by_pass, added_by_entry, _ROUNDS
    )
    return [
        rows.Row(
            'throughput of one entry / pass-through',
            throughput.ratio,
            'ratio',
            throughput.a,
            0.7,
            rows.Bound.AT_LEAST,
            seed,
            _COMMAND,
        ),
        rows.Row(
            'throughput of one entry',
            throughput.b,
            'requests/s',
            throughput.a,
            None,
            rows.Bound.AT_LEAST,
            seed,
            _COMMAND,
        ),
        rows.Row(
            'added p50 at one caller: entry / pass-through',
            added.ratio,
            'ratio',
            added.a * 1e3,
            0.8,
            rows.Bound.AT_MOST,
            seed,
            _COMMAND,
        ),
        rows.Row(
            'added p50 at one caller by the entry',
            added.b * 1e3,
            'ms',
            added.a * 1e3,
            None,
            rows.Bound.AT_MOST,
            seed,
            _COMMAND,
        ),
    ]


def run(seed: int) -> list[rows.Row]:
    """Return throughput and added latency, each beside the baseline."""
    place = world.World()
    try:
        return place.run(_measure(place, seed))
    finally:
        place.close()
