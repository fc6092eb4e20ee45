"""Starts nodes with the deploy command, and stand-ins around them.

All stand-ins follow the pages of the platform: workers that send heartbeats,
the service that lists machines, and clients. Every address is a loopback
address. ``Record`` writes what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'queue.example'
PREFIX = '/jobs/'
SERVICE = 'service-a'
RACK = 'r1-1'
# Bounds of the site cc-clasifica.
BOUNDS = {
    'ContactMs': 3000,
    'AckTimeoutMs': 4000,
    'CatchUpS': 4,
    'DrainMs': 2000,
    'GraceS': 6,
    'ConfigApplyMs': 2000,
    'MaxHoldMs': 6000,
    'StopMs': 900,
    'GangMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'finish_s': 14,
    'status_s': 120,
    'NoticeMs': 4500,
    'MoveS': 1.5,
    'UpkeepS': 2,
    'RequireFencing': False,
    'LeaseMs': 3000,
}
HEARTBEAT_S = 1.5
STOP_S = 0.2
# After what time a task fails on a worker that fails all.
FAIL_S = 0.05
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 18624, 18622, 18623, 17060


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes one line for each event to ``record.txt`` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, *words: object) -> None:
        """Write one line with the time."""
        line = f'{self.now():8.3f} ' + ' '.join(str(word) for word in words)
        self._file.write(line + '\n')
        self._file.flush()


@dataclasses.dataclass
class Node:
    """One machine of the system."""

    name: str
    ip: str
    folder: pathlib.Path
    has_disk: bool
    process: subprocess.Popen[bytes] | None = None

    def url(self, port: int) -> str:
        """Return the base URL of a listener."""
        return f'http://{self.ip}:{port}'


class Nodes:
    """The machines of the system, started as the deploy file says."""

    def __init__(
        self, record: Record, disks: int, others: int, cloud: str = ''
    ) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.prefix = _free_prefix()
        self.cloud = cloud
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._command = shlex.split(deploy['roles']['node']['run'])
        self.all: list[Node] = []
        for number in range(1, disks + others + 1):
            name = f'front-{number}'
            self.all.append(
                Node(
                    name,
                    f'{self.prefix}.{number}',
                    self.folder / name,
                    number <= disks,
                )
            )

    def start(self, node: Node, bootstrap: bool) -> None:
        """Start the program of a machine."""
        node.folder.mkdir(exist_ok=True)
        path = node.folder / 'local.json'
        path.write_text(json.dumps(self._settings(node, bootstrap)))
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['VERBENASTREAM_CONFIG'] = str(path)
        with (node.folder / 'log').open('ab') as log:
            node.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record.write('start', node.name, 'bootstrap', bootstrap)

    def _settings(self, node: Node, bootstrap: bool) -> dict[str, Any]:
        return {
            'Node': node.name,
            'Role': 'node',
            'MachineClass': 'front',
            'Serves': ['front', 'control'],
            'Ip': node.ip,
            'Zone': 'zone-a',
            'Region': 'region-a',
            'Zones': {'zone-a': 'region-a'},
            'Listen': {
                'Front': f'{node.ip}:{FRONT_PORT}',
                'Ready': f'{node.ip}:{READY_PORT}',
                'Control': f'{node.ip}:{CONTROL_PORT}',
            },
            'PortRange': [PEER_PORT, PEER_PORT + 15],
            'Seeds': [
                f'{other.ip}:{CONTROL_PORT}'
                for other in self.all
                if other.has_disk
            ][:3],
            'Bootstrap': bootstrap,
            'InTolerance': node.has_disk,
            'Limits': {
                'CpuShare': 0.8,
                'Cores': 2,
                'MemoryMb': 300,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 128,
            },
            'DataDir': str(node.folder / 'data') if node.has_disk else None,
            'HeartbeatMs': int(HEARTBEAT_S * 1000),
            'FaultTolerance': {'Machines': 1, 'Zones': 0, 'Regions': 0},
            'Bounds': BOUNDS,
            'config_mode': 'highest',
            'Orders': 'heartbeat',
            'CloudApi': {
                'Addr': self.cloud,
                'RatePerS': 64.0,
                'Duties': [],
                'DutyPerS': 64.0,
            },
        }

    def start_all(self) -> None:
        """Start every machine for the first time."""
        for node in self.all:
            self.start(node, bootstrap=True)

    def send_signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to the program of one machine."""
        assert node.process is not None
        self.record.write('signal', node.name, number.name)
        node.process.send_signal(number)

    async def wait_ready(self, client: Client, timeout_s: float = 20) -> None:
        """Wait until every machine is ready."""
        end = time.monotonic() + timeout_s
        for node in self.all:
            while True:
                status, _ = await client.send(
                    'GET', node.url(READY_PORT) + '/ready', quiet=True
                )
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRunError(f'{node.name} is not ready')
                await asyncio.sleep(0.1)
        self.record.write('all machines are ready')

    def close(self) -> None:
        """End every program that was started here."""
        for node in self.all:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_prefix() -> str:
    rng = random.Random(os.getpid() ^ time.time_ns())
    for _ in range(50):
        prefix = f'127.{rng.randint(60, 200)}.{rng.randint(1, 250)}'
        try:
            for port in (FRONT_PORT, CONTROL_PORT, PEER_PORT, 9464):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f'{prefix}.1', port))
        except OSError:
            continue
        return prefix
    raise CannotRunError('no free loopback network')


class Client:
    """Sends calls of clients and operators, and records the answers."""

    def __init__(self, record: Record, seed: int = 1) -> None:
        self.record = record
        self.rng = random.Random(seed)
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def send(
        self,
        method: str,
        url: str,
        body: Any = None,
        timeout_s: float = 3.0,
        quiet: bool = False,
    ) -> tuple[int, Any]:
        """Send one call; status 0 means that there was no answer."""
        headers = {'Host': HOST, 'Deadline-Ms': str(int(timeout_s * 1000))}
        answer: tuple[int, Any] = (0, None)
        try:
            async with self._session.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                text = await response.text()
                try:
                    answer = response.status, json.loads(text)
                except ValueError:
                    answer = response.status, text[:100]
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            answer = 0, repr(error)
        if not quiet:
            path = url.split('/', 3)[3]
            host = url.split('/')[2].split(':')[0]
            self.record.write(
                'call', method, f'/{path}', 'at', host, '->', *answer
            )
        return answer

    async def until_answered(
        self,
        nodes: Nodes,
        method: str,
        path: str,
        body: Any = None,
        port: int = FRONT_PORT,
        timeout_s: float = 15.0,
    ) -> tuple[int, Any]:
        """Repeat a call at any machine until a status below 500."""
        end = time.monotonic() + timeout_s
        while True:
            node = self.rng.choice(nodes.all)
            status, data = await self.send(method, node.url(port) + path, body)
            if 0 < status < 500 and status != 429:
                return status, data
            if time.monotonic() > end:
                raise CannotRunError(f'{method} {path}: {status}')
            await asyncio.sleep(0.2)

    async def configure(self, nodes: Nodes, configuration: Any) -> None:
        """Send a configuration until it is accepted."""
        status, _ = await self.until_answered(
            nodes, 'PUT', '/config', configuration, CONTROL_PORT
        )
        if status != 200:
            raise CannotRunError(f'configuration refused with {status}')


def configuration(version: int = 1, **route: Any) -> dict[str, Any]:
    """Return a configuration with one queue."""
    return {
        'Version': version,
        'Routes': [
            {
                'Name': 'r-1',
                'Host': HOST,
                'PathPrefix': PREFIX,
                'Kind': 'non_idempotent',
                'TimeoutMs': 3000,
                'SloMs': 3600,
                'Priority': 0,
                'Service': SERVICE,
                'MaxAttempts': 4,
                'Stretch': 1.6,
                **route,
            }
        ],
        'Services': [
            {
                'Name': SERVICE,
                'HealthPath': '/health',
                'MaxConns': 64,
                'Protocol': 'h1',
                'Tls': False,
                'AdmissionCheck': True,
                'Spare': False,
            }
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 262144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


@dataclasses.dataclass
class Run:
    """One task that a worker runs."""

    number: int
    need: tuple[int, int]
    ends_at: float
    started_at: float
    fails: bool = False


@dataclasses.dataclass(frozen=True)
class Work:
    """What the tasks of one job need: cores and memory, and seconds.

    Without ``run_s`` they last until they are stopped.
    """

    cpu: int
    mem_mb: int
    run_s: float | None


class Worker:
    """A sound worker of the platform, as PROTOCOL.md describes it.

    ``is_cut`` cuts it off from all machines, in both directions;
    ``loses_answers`` cuts only the way back. It runs on meanwhile, until its
    lease is over. With ``fails_all`` each task that it starts fails soon.
    """

    def __init__(
        self,
        nodes: Nodes,
        number: int,
        work: dict[str, Work],
        cpu: int = 16000,
        mem_mb: int = 65536,
        service: str = SERVICE,
        rack: str = RACK,
        kind: str = 'a',
    ) -> None:
        self.nodes = nodes
        self.record = nodes.record
        self.number = number
        self.work = work
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.service = service
        self.rack = rack
        self.labels = [kind, rack]
        self.machine = f'm-{number}'
        self.id = ''
        self.life = 0
        self.state = 'ready'
        self.is_up = False
        self.is_cut = False
        self.loses_answers = False
        self.fails_all = False
        self.rng = random.Random(number)
        self._task: asyncio.Task[None] | None = None
        self._session: aiohttp.ClientSession | None = None
        # Of all lives: task, run, time of the start and of the end, how.
        self.history: list[list[Any]] = []

    def start(self, keeps_id: bool = False) -> None:
        """Start a new life of the worker."""
        self.life += 1
        if not keeps_id or not self.id:
            self.id = f'i-{self.number:02d}-{self.life}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.highest_run: dict[str, int] = {}
        self.fence = 0
        self.lease_until = 0.0
        self.address: str | None = None
        self.state = 'ready'
        self.is_up = True
        self.changed = asyncio.Event()
        self._session = aiohttp.ClientSession()
        self._task = asyncio.create_task(self._live())
        self.record.write('worker', self.id, 'starts on', self.machine)

    async def crash(self) -> None:
        """End this life at once; what ran on it is gone."""
        for task, run in self.running.items():
            self._close_history(task, run.number, 'crashed')
        self.record.write(
            'worker', self.id, 'crashes, it ran', *sorted(self.running)
        )
        self.running = {}
        await self._end_life()

    async def _end_life(self) -> None:
        self.is_up = False
        assert self._task is not None and self._session is not None
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        await self._session.close()

    async def close(self) -> None:
        """End the worker with the case."""
        if self.is_up:
            await self._end_life()

    def free(self) -> tuple[int, int]:
        """Return the thousandths of a core and the MB that are free."""
        return (
            self.cpu - sum(run.need[0] for run in self.running.values()),
            self.mem_mb - sum(run.need[1] for run in self.running.values()),
        )

    async def _live(self) -> None:
        beats = asyncio.create_task(self._send_heartbeats())
        try:
            while True:
                await asyncio.sleep(0.02)
                self._advance()
        finally:
            beats.cancel()

    def _advance(self) -> None:
        now = time.monotonic()
        if self.running and now > self.lease_until:
            for task in list(self.running):
                self._end(task, 'lapsed')
        for task, run in list(self.running.items()):
            if now >= run.ends_at:
                self._end(task, 'failed' if run.fails else 'done')

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        self._list_end(task, run.number, how)
        self._close_history(task, run.number, how)

    def _list_end(self, task: str, number: int, how: str) -> None:
        self.end_count += 1
        self.ended.append([self.end_count, task, number, how, ''])
        self.highest_run[task] = max(self.highest_run.get(task, 0), number)
        self.record.write('worker', self.id, 'ends', task, number, how)
        self.changed.set()

    def _close_history(self, task: str, number: int, how: str) -> None:
        for row in reversed(self.history):
            if row[0] == task and row[1] == number and row[3] is None:
                row[3:] = [self.record.now(), how]
                return

    def _beat(self) -> dict[str, Any]:
        self.sequence += 1
        now = time.monotonic()
        rows = []
        for task, run in self.running.items():
            percent = 100
            if run.ends_at != float('inf'):
                share = (now - run.started_at) / (run.ends_at - run.started_at)
                percent = min(99, int(100 * share))
            elif now < run.started_at + 0.5:
                percent = 50
            rows.append([task, run.number, '', percent, 0])
        return {
            'Service': self.service,
            'Addr': f'127.0.0.1:{20000 + self.number}',
            'Zone': 'zone-a',
            'Version': 'v1',
            'Slots': 8,
            'State': self.state,
            'ColdLeftMs': 0,
            'Capacity': {'Cpu': self.cpu, 'MemMb': self.mem_mb, 'Gpu': 0},
            'Labels': self.labels,
            'Machine': self.machine,
            'ClockMs': int(now * 1000) % 10**9,
            'Seq': self.sequence,
            'born': self.born,
            'Running': rows,
            'Ended': self.ended[:500],
        }

    async def _send_heartbeats(self) -> None:
        while True:
            self.changed.clear()
            pause_s = HEARTBEAT_S
            sent_at = time.monotonic()
            answer = await self._call(self._beat())
            if answer is None:
                self.address = None
                pause_s = 0.1
            else:
                pause_s = self._obey(answer, sent_at)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), pause_s)
                # An end is reported 50 ms later.
                await asyncio.sleep(0.05)

    async def _call(self, beat: dict[str, Any]) -> dict[str, Any] | None:
        address = self.address
        if address is None:
            node = self.rng.choice(self.nodes.all)
            address = f'{node.ip}:{CONTROL_PORT}'
        was_cut = self.is_cut
        if was_cut:
            await asyncio.sleep(1.0)
            return None
        assert self._session is not None
        try:
            async with self._session.put(
                f'http://{address}/instances/{self.id}',
                json=beat,
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                body = await response.read()
                if response.status // 100 != 2:
                    return None
                if self.is_cut or self.loses_answers:
                    # The answer is lost on its way.
                    self.record.write('worker', self.id, 'misses an answer')
                    await asyncio.sleep(0.5)
                    return None
                answer: dict[str, Any] = json.loads(body)
                return answer
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return None

    def _obey(self, answer: dict[str, Any], sent_at: float) -> float:
        if time.monotonic() > sent_at + 1.0:
            return 0.1
        self.address = answer.get('HeartbeatAddr') or self.address
        fence = answer.get('Fence', 0)
        if fence >= self.fence:
            self.fence = fence
            self._carry_out(answer, sent_at)
        retry_ms = answer.get('RetryMs')
        return HEARTBEAT_S if retry_ms is None else retry_ms / 1000

    def _carry_out(self, answer: dict[str, Any], sent_at: float) -> None:
        seen = answer.get('SeenUpto', 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        for task, number in answer.get('Stop', ()):
            self.highest_run[task] = max(self.highest_run.get(task, 0), number)
            run = self.running.get(task)
            if run is not None and run.number == number:
                asyncio.get_running_loop().call_later(
                    STOP_S, self._stop, task, number, self.life
                )
        hold_ms = answer.get('HoldMs')
        if hold_ms is None:
            return
        hold_s = min(hold_ms, BOUNDS['MaxHoldMs']) / 1000
        self.lease_until = max(self.lease_until, sent_at + hold_s)
        for row in answer.get('Start', ()):
            self._start_task(row[0], row[1])

    def _stop(self, task: str, number: int, life: int) -> None:
        run = self.running.get(task)
        if life == self.life and run is not None and run.number == number:
            self._end(task, 'stopped')

    def _start_task(self, task: str, number: int) -> None:
        step = task.rpartition('.')[0]
        work = self.work.get(step) or self.work.get(task.split('.')[0])
        if number <= self.highest_run.get(task, 0) or task in self.running:
            self._list_end(task, number, 'refused')
            return
        if work is None:
            self.record.write('worker', self.id, 'unknown job', task)
            return
        free = self.free()
        if work.cpu > free[0] or work.mem_mb > free[1]:
            self._list_end(task, number, 'refused')
            return
        now = time.monotonic()
        ends_at = float('inf') if work.run_s is None else now + work.run_s
        if self.fails_all:
            ends_at = now + FAIL_S
        self.running[task] = Run(
            number, (work.cpu, work.mem_mb), ends_at, now, self.fails_all
        )
        self.history.append([task, number, self.record.now(), None, 'runs'])
        self.record.write('worker', self.id, 'runs', task, number)


class Platform:
    """The service that lists machines; it moves and maintains none."""

    def __init__(self, record: Record, workers: list[Worker]) -> None:
        self.record = record
        self.workers = workers
        self.address = ''
        self._runner: web.AppRunner | None = None

    async def start(self, prefix: str) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get('/machines', self._list)
        app.router.add_post('/{call}', self._refuse)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, f'{prefix}.250', 0)
        await site.start()
        assert site._server is not None
        port = site._server.sockets[0].getsockname()[1]
        self.address = f'{prefix}.250:{port}'

    async def _list(self, request: web.Request) -> web.Response:
        rows = [
            {
                'Machine': worker.machine,
                'Pool': worker.service,
                'State': 'up' if worker.is_up else 'down',
                'Zone': 'zone-a',
                'Labels': worker.labels,
                'Capacity': {
                    'Cpu': worker.cpu,
                    'MemMb': worker.mem_mb,
                    'Gpu': 0,
                },
                'Id': worker.id,
            }
            for worker in self.workers
        ]
        return web.json_response({'Machines': rows, 'NextToken': ''})

    async def _refuse(self, request: web.Request) -> web.Response:
        self.record.write('platform gets', request.path)
        return web.json_response({'Reason': 'busy'}, status=409)

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()


def job(count: int, work: Work, **step: Any) -> dict[str, Any]:
    """Return the body of a submission with one step."""
    lasts = work.run_s is None
    fields: dict[str, Any] = {
        'Count': count,
        'Cpu': work.cpu,
        'MemMb': work.mem_mb,
        'EstMs': 0 if work.run_s is None else int(work.run_s * 1000),
        **step,
    }
    if lasts:
        fields['LongRunning'] = True
    return {'Spec': 'review', 'Steps': [fields]}


def is_troubled() -> bool:
    """Whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(case: Any, folder: pathlib.Path) -> int:
    """Run ``case``; 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(folder)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 118))
    except Exception as error:
        record.write('the case could not run:', repr(error))
        print(f'the case could not run: {error!r}', file=sys.stderr)
        return 2
    for line in broken:
        record.write('BROKEN', line)
        print(f'BROKEN {line}')
    if not broken:
        record.write('the rule held')
        print('the rule held')
    return 1 if broken else 0
