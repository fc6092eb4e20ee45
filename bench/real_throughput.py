"""One entry process compared with a minimal aiohttp pass-through proxy."""

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
_CALLER_PROCESSES = 2
_REQUESTS_PER_PROCESS = 1_500
_CALLERS_PER_PROCESS = 16
_SINGLE_CALLER_REQUESTS = 500
_PORT = 8000
_SERVICE = trial.SAMPLE.services[0]


class _ComparedPaths:
    """Starts an entry and a pass-through proxy, each with its own targets."""

    def __init__(self, environment: world.World) -> None:
        self._environment = environment
        customer = trial.SAMPLE.customers[0]
        self.entry_headers = {
            'Authorization': f'Bearer {samples.caller_key(customer)}'
        }
        self.entry_url = ''
        self.pass_through_url = ''
        self.direct_url = ''

    async def start(self) -> None:
        path = f'/call/{_SERVICE}/{trial.SAMPLE.short_operation}'
        self.entry_url = await self._start_entry() + path
        targets = await self._start_pass_through()
        self.pass_through_url += path
        self.direct_url = f'{targets[0]}/{trial.SAMPLE.short_operation}'

    async def _start_entry(self) -> str:
        layout = deployment.LoopbackDeployment.from_config(
            trial.SAMPLE,
            deployment.Size(controls=3, entries=1, targets=_TARGETS),
            self._environment.folder,
        )
        session = await self._environment.session()
        cluster = clusters.Cluster(
            layout, self._environment.processes, session
        )
        self._environment.on_close(cluster.stop)
        await cluster.start()
        operator = operator_client.OperatorClient(layout, session)
        await operator.submit(
            samples.document(trial.SAMPLE, _SERVICE, instances=4), 0
        )
        await cluster.wait_entries()
        await cluster.wait_assigned(4)
        return layout.caller_url('entry-1')

    async def _start_pass_through(self) -> list[str]:
        address = self._environment.address()
        self.pass_through_url = f'http://{address}:{_PORT}'
        configs = [self._target(n, address) for n in range(_TARGETS)]
        urls = [f'http://{target.address}:{_PORT}' for target in configs]
        processes = self._environment.processes
        processes.start(
            'pass-through',
            'verbenastream_testing.pass_through',
            [address, str(_PORT), *urls],
            self.pass_through_url,
        )
        for config, url in zip(configs, urls, strict=True):
            path = self._environment.folder / f'{config.id}.json'
            path.write_bytes(target_settings.encode(config))
            processes.start(
                config.id,
                'verbenastream_testing.fake_target',
                ['--settings', str(path)],
                url,
            )
        names = ['pass-through', *(config.id for config in configs)]
        await processes.wait_ready(names, 30.0)
        session = await self._environment.session()

        async def targets_have_pool() -> bool:
            for url in urls:
                async with session.get(f'{url}/readyz') as answer:
                    if not (await answer.json())['pool']:
                        return False
            return True

        await world.until('all targets have a pool', targets_have_pool)
        return urls

    def _target(
        self, number: int, entry_address: str
    ) -> target_settings.TargetSettings:
        name = f'plain-{number + 1}'
        return target_settings.TargetSettings(
            id=name,
            incarnation=1,
            data_centre='mx-1',
            rack='mx-1-rack-1',
            address=self._environment.address(),
            port=_PORT,
            deployment=settings.Deployment('plain', '0' * 64),
            entries=(
                target_settings.EntryAddress('mx-1', entry_address, _PORT),
            ),
            ledger=str(self._environment.folder / f'{name}.jsonl'),
        )


async def _run_callers(
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
    result = json.loads(output)
    return result['seconds'], latency.Histogram.decode(result['histogram'])


async def _requests_per_s(url: str, headers: dict[str, str]) -> float:
    """Return the total requests per second of all caller processes."""
    results = await asyncio.gather(
        *(
            _run_callers(
                url, _REQUESTS_PER_PROCESS, _CALLERS_PER_PROCESS, headers
            )
            for _ in range(_CALLER_PROCESSES)
        )
    )
    return sum(_REQUESTS_PER_PROCESS / seconds for seconds, _ in results)


async def _p50_latency_s(url: str, headers: dict[str, str]) -> float:
    _, histogram = await _run_callers(url, _SINGLE_CALLER_REQUESTS, 1, headers)
    return histogram.quantile_s(0.5)


async def _measure(environment: world.World, seed: int) -> list[rows.Row]:
    paths = _ComparedPaths(environment)
    await paths.start()
    direct_headers = {
        fake_target.POOL_HEADER: str(pass_through.POOL),
        fake_target.EPOCH_HEADER: str(pass_through.EPOCH),
    }
    # Warms up connections and estimates on both paths.
    await _requests_per_s(paths.pass_through_url, {})
    await _requests_per_s(paths.entry_url, paths.entry_headers)
    throughput = await latency.compare_in_turn(
        lambda: _requests_per_s(paths.pass_through_url, {}),
        lambda: _requests_per_s(paths.entry_url, paths.entry_headers),
        _ROUNDS,
    )

    async def added_by_pass_through() -> float:
        direct_s = await _p50_latency_s(paths.direct_url, direct_headers)
        return await _p50_latency_s(paths.pass_through_url, {}) - direct_s

    async def added_by_entry() -> float:
        direct_s = await _p50_latency_s(paths.direct_url, direct_headers)
        return (
            await _p50_latency_s(paths.entry_url, paths.entry_headers)
            - direct_s
        )

    added_latency = await latency.compare_in_turn(
        added_by_pass_through, added_by_entry, _ROUNDS
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
            added_latency.ratio,
            'ratio',
            added_latency.a * 1e3,
            0.8,
            rows.Bound.AT_MOST,
            seed,
            _COMMAND,
        ),
        rows.Row(
            'added p50 at one caller by the entry',
            added_latency.b * 1e3,
            'ms',
            added_latency.a * 1e3,
            None,
            rows.Bound.AT_MOST,
            seed,
            _COMMAND,
        ),
    ]


def run(seed: int) -> list[rows.Row]:
    """Return throughput and added latency, compared with the pass-through."""
    environment = world.World()
    try:
        return environment.run(_measure(environment, seed))
    finally:
        environment.close()
