"""Nodes of a small deployment and stand-ins for its platform.

Everything runs on loopback addresses and the real clock. The nodes are the
project's own program, started with the command of the deploy file. Workers,
clients, the operator and the machine API are stand-ins that do what
``PROTOCOL.md`` says.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from typing import Any

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
QUEUE_HOST = 'queue.example'
HEARTBEAT_INTERVAL_S = 1.5
HEARTBEAT_TIMEOUT_S = 1.0
END_DELAY_S = 0.05
MAX_HOLD_S = 6.0
STOP_S = 0.1
RETRY_S = 0.1
STARTUP_S = 0.3
UPKEEP_S = 2.0
MOVE_S = 1.5
MAX_REPORTED_ENDS = 500
CASE_TIMEOUT_S = 105.0
BOUNDS = {
    'SeedLagS': 3,
    'AddrReuseS': 2,
    'ContactMs': 3000,
    'AckTimeoutMs': 4000,
    'CatchUpS': 4,
    'DrainMs': 2000,
    'GraceS': 6,
    'LossSlackMs': 200,
    'ConfigApplyMs': 2000,
    'RollbackSlackMs': 250,
    'MaxStretchMs': 5000,
    'RecoveryS': 12,
    'MaxHoldMs': 6000,
    'StopMs': 900,
    'GangMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'FarX': 1.5,
    'CheckpointS': 0.5,
    'RestoreMs': 600,
    'NoticeMs': 4500,
    'MoveS': 1.5,
    'UpkeepS': 2,
    'RequireFencing': False,
    'LeaseMs': 3000,
    'ThawMs': 300,
    'PaceMs': 100,
    'HarmMs': 4000,
}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


def free_prefix(ports: list[int]) -> str:
    """Return a loopback network of which no address uses ``ports``."""
    rng = random.Random(os.getpid())
    for _ in range(50):
        prefix = f'127.{rng.randrange(10, 250)}.{rng.randrange(1, 250)}'
        with contextlib.ExitStack() as stack:
            try:
                for port in ports:
                    for last in (1, 2, 3, 4, 200):
                        probe = socket.socket()
                        stack.callback(probe.close)
                        probe.bind((f'{prefix}.{last}', port))
            except OSError:
                continue
        return prefix
    raise OSError('no free loopback network')


class Nodes:
    """Processes of the system, three with a disk and one without."""

    FRONT = 18_724
    READY = 18_722
    CONTROL = 18_723
    PEER = 17_160

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self._record = record
        self._folder = folder
        self.prefix = free_prefix([self.FRONT, self.CONTROL, self.PEER])
        self.cloud = f'{self.prefix}.200:{self.CONTROL}'
        self.addresses = [f'{self.prefix}.{n}' for n in (1, 2, 3, 4)]
        self.process_by_address: dict[str, subprocess.Popen[bytes]] = {}
        self._command = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )['roles']['node']['run']

    def start_all(self) -> None:
        """Start all nodes of a new deployment."""
        for address in self.addresses:
            self.start(address, bootstrap=True)

    def start(self, address: str, bootstrap: bool = False) -> None:
        """Write the settings of a node and start it."""
        name = 'node-' + address.rpartition('.')[2]
        folder = self._folder / name
        folder.mkdir(exist_ok=True)
        has_disk = not address.endswith('.4')
        seeds = [f'{other}:{self.CONTROL}' for other in self.addresses[:3]]
        settings = {
            'Node': name,
            'Role': 'node',
            'MachineClass': 'front',
            'Serves': ['front', 'control'],
            'Ip': address,
            'Zone': 'zone-a',
            'Region': 'region-a',
            'Zones': {'zone-a': 'region-a'},
            'Listen': {
                'Front': f'{address}:{self.FRONT}',
                'Ready': f'{address}:{self.READY}',
                'Control': f'{address}:{self.CONTROL}',
            },
            'PortRange': [self.PEER, self.PEER + 15],
            'Seeds': seeds,
            'Bootstrap': bootstrap,
            'InTolerance': has_disk,
            'DataDir': str(folder / 'data') if has_disk else None,
            'Discovery': 'registry',
            'Entry': 'vip',
            'HeartbeatMs': 1500,
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
        path = folder / 'settings.json'
        path.write_text(json.dumps(settings))
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'VERBENASTREAM_CONFIG': str(path),
        }
        with (folder / 'log').open('ab') as log:
            self.process_by_address[address] = subprocess.Popen(
                shlex.split(self._command),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._record.write(f'node {name} started')

    def kill(self, address: str) -> None:
        """Kill the process of a node."""
        process = self.process_by_address.pop(address)
        process.kill()
        process.wait()
        self._record.write(f'node at {address} killed')

    def signal(self, address: str, number: signal.Signals) -> None:
        """Send a signal to the process of a node."""
        self.process_by_address[address].send_signal(number)
        self._record.write(f'{number.name} to the node at {address}')

    def has_exited(self) -> bool:
        """Whether a process that should run has exited."""
        return any(
            process.poll() is not None
            for process in self.process_by_address.values()
        )

    def close(self) -> None:
        """End all processes that were started."""
        for process in self.process_by_address.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class Run:
    """One run of a task on a worker, as the worker sees it."""

    def __init__(self, task: str, number: int, spec: str, at: float) -> None:
        self.task = task
        self.number = number
        self.spec = json.loads(spec)
        self.started_at = at
        self.ended_at: float | None = None
        self.how = ''
        self.is_stopping = False


class Gangs:
    """Runs of gangs, which work together and end together.

    The ``gang`` field of a task's spec is the number of its members.
    """

    def __init__(self) -> None:
        self._members_by_run: dict[
            tuple[str, int], list[tuple[Worker, Run]]
        ] = collections.defaultdict(list)

    @staticmethod
    def _key(run: Run) -> tuple[str, int]:
        return run.task.rpartition('.')[0], run.number

    def join(self, worker: Worker, run: Run) -> None:
        """Add a member; all of them begin their work with the last one."""
        members = self._members_by_run[self._key(run)]
        members.append((worker, run))
        if len(members) == run.spec['gang']:
            for member_worker, member in members:
                member_worker.work(member)

    def leave(self, run: Run, how: str) -> None:
        """Remove a member; without it the others end as ``broken``."""
        members = self._members_by_run.pop(self._key(run), [])
        for worker, member in members:
            if member is not run:
                worker.finish(member, 'done' if how == 'done' else 'broken')


class Ledger:
    """All runs that workers have begun, in the order of their starts."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, Run]] = []

    def of_task(self, task: str) -> list[tuple[str, Run]]:
        """Return the runs of a task with their workers."""
        return [row for row in self.rows if row[1].task == task]

    def overlaps(self, now: float, min_s: float = 0.0) -> list[str]:
        """Return the pairs of runs of a task that overlapped in time."""
        runs_by_task: dict[str, list[tuple[str, Run]]] = (
            collections.defaultdict(list)
        )
        for row in self.rows:
            runs_by_task[row[1].task].append(row)
        found = []
        for task, rows in runs_by_task.items():
            for position, (worker, run) in enumerate(rows):
                for other_worker, other in rows[position + 1 :]:
                    begin = max(run.started_at, other.started_at)
                    end = min(run.ended_at or now, other.ended_at or now)
                    if end - begin > min_s:
                        found.append(
                            f'{task}: run {run.number} on {worker} and run '
                            f'{other.number} on {other_worker} both ran from '
                            f'{begin:.3f} to {end:.3f}'
                        )
        return found


class Worker:
    """A worker that takes its orders from the answers to its heartbeats."""

    def __init__(
        self,
        world: World,
        id: str,
        machine: str,
        service: str,
        rack: str = 'r1-1',
        cpu: int = 4000,
    ) -> None:
        self.id = id
        self.machine = machine
        self.service = service
        self.labels = ['a', rack]
        self.cpu = cpu
        self.born = int(time.time() * 1000)
        self.alive = True
        self._world = world
        self._record = world.record
        self._sequence = 0
        self._last_end = 0
        self._fence = 0
        self._lease_until = float('-inf')
        self.runs_by_task: dict[str, Run] = {}
        self._last_run_by_task: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._address: str | None = None
        self._wakeup = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.start()

    def start(self) -> None:
        """Send heartbeats until the worker is ended."""
        self._spawn(self._send_heartbeats())
        self._spawn(self._watch_lease())

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def crash(self) -> None:
        """End at once; everything that runs here ends too."""
        self.end('crashed')
        self._record.write(f'worker {self.id} crashed')

    def is_at_work(self, run: Run) -> bool:
        """Whether a run of a task that lasts has started up."""
        return _percent(run, self._record.now()) == 100

    def end(self, how: str) -> None:
        """End the worker and its runs."""
        self.alive = False
        for run in list(self.runs_by_task.values()):
            self.finish(run, how)
        for task in self._tasks:
            task.cancel()

    def finish(self, run: Run, how: str) -> None:
        """End a run and list its end in the next heartbeats."""
        if self.runs_by_task.get(run.task) is not run:
            return
        del self.runs_by_task[run.task]
        run.ended_at = self._record.now()
        run.how = how
        self._record.write(
            f'worker {self.id} ends {run.task} run {run.number}: {how}'
        )
        if 'gang' in run.spec:
            self._world.gangs.leave(run, how)
        if self.alive:
            self._last_end += 1
            self._ended.append([self._last_end, run.task, run.number, how, ''])
            self._wakeup.set()

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self._record.now() > self._lease_until:
                for run in list(self.runs_by_task.values()):
                    self.finish(run, 'lapsed')

    async def _send_heartbeats(self) -> None:
        while True:
            pause_s = await self._send_heartbeat()
            self._wakeup.clear()
            try:
                await asyncio.wait_for(self._wakeup.wait(), pause_s)
                await asyncio.sleep(END_DELAY_S)
            except asyncio.TimeoutError:
                pass

    def body(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self._sequence += 1
        now = self._record.now()
        return {
            'Service': self.service,
            'Addr': f'{self._world.nodes.prefix}.201:8080',
            'Zone': 'zone-a',
            'Version': 'v1',
            'Slots': 8,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Capacity': {'Cpu': self.cpu, 'MemMb': 16_384, 'Gpu': 0},
            'Labels': self.labels,
            'Machine': self.machine,
            'ClockMs': int(now * 1000),
            'Seq': self._sequence,
            'born': self.born,
            'Running': [
                [run.task, run.number, '', _percent(run, now), 100]
                for run in self.runs_by_task.values()
            ],
            'Ended': self._ended[:MAX_REPORTED_ENDS],
        }

    async def _send_heartbeat(self) -> float:
        """Send one heartbeat; return the time until the next one."""
        address = self._address or self._world.any_control()
        sent_at = self._record.now()
        answer = await self._world.put_heartbeat(address, self.id, self.body())
        if answer is None:
            self._address = None
            return RETRY_S
        self._address = answer.get('HeartbeatAddr') or self._address
        return self._obey(answer, sent_at)

    def _obey(self, answer: dict[str, Any], sent_at: float) -> float:
        fence = answer.get('Fence', 0)
        if fence < self._fence:
            return HEARTBEAT_INTERVAL_S
        self._fence = fence
        seen = answer.get('SeenUpto', 0)
        self._ended = [end for end in self._ended if end[0] > seen]
        if 'HoldMs' not in answer:
            return HEARTBEAT_INTERVAL_S
        hold_s = min(answer['HoldMs'] / 1000, MAX_HOLD_S)
        self._lease_until = max(self._lease_until, sent_at + hold_s)
        self._world.before_ends(self, self._runs_to_stop(answer))
        for task, number in answer.get('Stop', ()):
            self._last_run_by_task[task] = max(
                number, self._last_run_by_task.get(task, 0)
            )
            run = self.runs_by_task.get(task)
            if run is not None and run.number <= number:
                self._spawn(self._stop(run))
        for row in answer.get('Start', ()):
            self._start(*row[:3])
        return float(answer.get('RetryMs', HEARTBEAT_INTERVAL_S * 1000)) / 1000

    def _runs_to_stop(self, answer: dict[str, Any]) -> list[Run]:
        return [
            run
            for task, number in answer.get('Stop', ())
            if (run := self.runs_by_task.get(task)) is not None
            and run.number <= number
            and not run.is_stopping
        ]

    async def _stop(self, run: Run) -> None:
        run.is_stopping = True
        await asyncio.sleep(STOP_S)
        self.finish(run, 'stopped')

    def _start(self, task: str, number: int, spec: str) -> None:
        if number <= self._last_run_by_task.get(task, 0):
            self._record.write(f'worker {self.id} rejects {task} {number}')
            return
        self._last_run_by_task[task] = number
        run = Run(task, number, spec, self._record.now())
        self._record.write(f'worker {self.id} starts {task} run {number}')
        self.runs_by_task[task] = run
        self._world.ledger.rows.append((self.id, run))
        if 'gang' in run.spec:
            self._world.gangs.join(self, run)
        else:
            self.work(run)

    def work(self, run: Run) -> None:
        """Begin the work of a run; a task without ``work_s`` lasts."""
        if run.spec.get('work_s') is not None:
            self._spawn(self._work(run))

    async def _work(self, run: Run) -> None:
        await asyncio.sleep(run.spec['work_s'])
        self.finish(run, run.spec.get('how', 'done'))


def _percent(run: Run, now: float) -> int:
    lasted_s = now - run.started_at
    work_s = run.spec.get('work_s')
    if work_s is None:
        return 100 if lasted_s >= STARTUP_S else 50
    return min(99, int(100 * lasted_s / work_s))


class Machine:
    """A machine with its pool and the latest worker on it."""

    def __init__(self, name: str, pool: str, rack: str, cpu: int) -> None:
        self.name = name
        self.pool = pool
        self.rack = rack
        self.cpu = cpu
        self.state = 'up'
        self.worker: Worker | None = None


class Machines:
    """The platform's machine API; subclasses add its faults."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._record = world.record
        self._runner: web.AppRunner | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.by_name: dict[str, Machine] = {}
        # Machines of each wave, and the machine and wave of each upkeep.
        self.machines_by_wave: dict[int, set[str]] = {}
        self.begun_upkeeps: set[tuple[str, int]] = set()

    async def start(self, address: str) -> None:
        """Listen on ``address``."""
        app = web.Application()
        app.router.add_get('/machines', self._get_machines)
        app.router.add_post('/machine-move', self._post_move)
        app.router.add_post('/machine-upkeep', self._post_upkeep)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, _, port = address.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Close the listener."""
        for task in self._tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def rows(self) -> list[dict[str, Any]]:
        """Return the entries of the list."""
        return [self.row(machine) for machine in self.by_name.values()]

    def row(self, machine: Machine) -> dict[str, Any]:
        """Return the entry of one machine."""
        worker = machine.worker
        state = machine.state
        if state == 'up' and worker is not None and not worker.alive:
            state = 'down'
        return {
            'Machine': machine.name,
            'Pool': machine.pool,
            'State': state,
            'Zone': 'zone-a',
            'Labels': ['a', machine.rack],
            'Capacity': {'Cpu': machine.cpu, 'MemMb': 16_384, 'Gpu': 0},
            'Id': '' if worker is None else worker.id,
        }

    async def _get_machines(self, request: web.Request) -> web.Response:
        return web.json_response({'Machines': self.rows(), 'NextToken': ''})

    async def _post_move(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        machine = self.by_name.get(body['Machine'])
        if machine is None:
            return self._answer(request, body, 400, '')
        if machine.pool == body['Pool']:
            return self._answer(request, body, 200, '')
        if machine.state != 'up':
            return self._answer(request, body, 409, 'busy')
        self._take_down(machine, 'moving', body['Pool'], MOVE_S)
        return self._answer(request, body, 200, '')

    async def _post_upkeep(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        machine = self.by_name.get(body['Machine'])
        wave = body['Wave']
        if machine is None:
            return self._answer(request, body, 400, '')
        if machine.name not in self.machines_by_wave.get(wave, ()):
            return self._answer(request, body, 409, 'wave')
        if machine.state != 'up':
            return self._answer(request, body, 409, 'busy')
        if (machine.name, wave) in self.begun_upkeeps:
            return self._answer(request, body, 200, '')
        self.begun_upkeeps.add((machine.name, wave))
        self._take_down(machine, 'upkeep', machine.pool, UPKEEP_S)
        return self._answer(request, body, 200, '')

    def _answer(
        self, request: web.Request, body: Any, status: int, reason: str
    ) -> web.StreamResponse:
        self._record.write(f'{request.path} {body}: {status} {reason}')
        return web.json_response(
            {'Reason': reason} if reason else {}, status=status
        )

    def _take_down(
        self, machine: Machine, state: str, pool: str, duration_s: float
    ) -> None:
        machine.state = state
        worker = machine.worker
        if worker is not None and worker.alive:
            self._world.before_ends(worker, list(worker.runs_by_task.values()))
            worker.end(state)
        machine.worker = None
        task = asyncio.create_task(self._return(machine, pool, duration_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _return(
        self, machine: Machine, pool: str, duration_s: float
    ) -> None:
        await asyncio.sleep(duration_s)
        machine.pool = pool
        machine.state = 'up'
        self._world.start_worker(machine)


class World:
    """A deployment with its stand-ins, for one play of a case."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.nodes = Nodes(record, folder)
        self.ledger = Ledger()
        self.gangs = Gangs()
        self.machines: Machines = Machines(self)
        self.spare_pools: set[str] = set()
        self.session = aiohttp.ClientSession()
        self.last_heartbeat_address = ''
        self._rng = random.Random(1)
        self._lives = 0

    def before_ends(self, worker: Worker, runs: list[Run]) -> None:
        """Handle runs that an order of the system is about to end."""

    async def close(self) -> None:
        """End the stand-ins and all processes."""
        await self.machines.stop()
        for machine in self.machines.by_name.values():
            if machine.worker is not None and machine.worker.alive:
                machine.worker.end('the case is over')
        self.nodes.close()
        await self.session.close()

    # Workers.

    def add_machine(
        self, name: str, pool: str, rack: str = 'r1-1', cpu: int = 4000
    ) -> Machine:
        """Add a machine and start its worker."""
        machine = Machine(name, pool, rack, cpu)
        self.machines.by_name[name] = machine
        self.start_worker(machine)
        return machine

    def start_worker(self, machine: Machine) -> None:
        """Start the next worker of a machine; those of a spare pool are off."""
        if machine.pool in self.spare_pools:
            return
        self._lives += 1
        machine.worker = Worker(
            self,
            f'i-{self._lives:04d}',
            machine.name,
            machine.pool,
            machine.rack,
            machine.cpu,
        )
        self.record.write(
            f'worker {machine.worker.id} starts on {machine.name} in '
            f'{machine.pool}'
        )

    def any_control(self) -> str:
        """Return the control address of a node that runs."""
        addresses = list(self.nodes.process_by_address)
        return f'{self._rng.choice(addresses)}:{self.nodes.CONTROL}'

    async def put_heartbeat(
        self, address: str, id: str, body: dict[str, Any] | bytes
    ) -> dict[str, Any] | None:
        """Send a heartbeat; return the answer if it is good and in time."""
        data = body if isinstance(body, bytes) else json.dumps(body)
        try:
            async with self.session.put(
                f'http://{address}/instances/{id}',
                data=data,
                headers={'Content-Type': 'application/json'},
                timeout=aiohttp.ClientTimeout(total=HEARTBEAT_TIMEOUT_S),
            ) as response:
                if response.status != 200:
                    return None
                answer = await response.json()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return None
        self.last_heartbeat_address = answer.get(
            'HeartbeatAddr', self.last_heartbeat_address
        )
        return answer

    def leader(self) -> str:
        """Return the address of the node that answered workers last."""
        return self.last_heartbeat_address.rpartition(':')[0]

    # Clients and the operator.

    async def call(
        self,
        method: str,
        port: int,
        path: str,
        body: Any = None,
        attempts: int = 40,
    ) -> tuple[int, bytes]:
        """Call nodes in turn until one gives a clear answer."""
        for _ in range(attempts):
            addresses = list(self.nodes.process_by_address)
            address = self._rng.choice(addresses)
            url = f'http://{address}:{port}{path}'
            try:
                async with self.session.request(
                    method,
                    url,
                    data=None if body is None else json.dumps(body),
                    headers={
                        'Host': QUEUE_HOST,
                        'Content-Type': 'application/json',
                        'Deadline-Ms': '3000',
                    },
                    timeout=aiohttp.ClientTimeout(total=3.0),
                ) as response:
                    data = await response.read()
                    status = response.status
            except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as e:
                status, data = 0, repr(e).encode()
            self.record.write(
                f'{method} {path} at {address}: {status} {data[:80]!r}'
            )
            if 200 <= status < 500 and status != 429:
                return status, data
            await asyncio.sleep(0.3)
        return 0, b''

    async def configure(self, body: dict[str, Any]) -> None:
        """Send a configuration until it is accepted."""
        status, _ = await self.call(
            'PUT', self.nodes.CONTROL, '/config', body, attempts=100
        )
        if status != 200:
            raise SetupError('the configuration was not accepted')

    async def submit(self, prefix: str, id: str, job: dict[str, Any]) -> int:
        """Submit a job until there is a clear answer."""
        status, _ = await self.call('POST', self.nodes.FRONT, prefix + id, job)
        return status

    async def job_state(self, prefix: str, id: str) -> str:
        """Return the state of a job, or the status if it has none."""
        status, data = await self.call('GET', self.nodes.FRONT, prefix + id)
        if status != 200:
            return str(status)
        return str(json.loads(data)['State'])


class SetupError(Exception):
    """The case could not run."""


def route(
    name: str,
    prefix: str,
    service: str,
    max_attempts: int = 3,
) -> dict[str, Any]:
    """Return a route as a configuration holds it."""
    return {
        'Name': name,
        'Host': QUEUE_HOST,
        'PathPrefix': prefix,
        'Kind': 'non_idempotent',
        'TimeoutMs': 3000,
        'SloMs': 3600,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': max_attempts,
        'Stretch': 1.6,
    }


def service(name: str, spare: bool = False) -> dict[str, Any]:
    """Return a service as a configuration holds it."""
    return {
        'Name': name,
        'HealthPath': '/health',
        'MaxConns': 64,
        'Protocol': 'h1',
        'Tls': False,
        'AdmissionCheck': True,
        'Spare': spare,
    }


def configuration(
    version: int, routes: list[Any], services: list[Any]
) -> dict[str, Any]:
    """Return a whole configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 262_144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15_000,
        },
    }


def play(case_folder: pathlib.Path, case: Any, trouble: bool) -> int:
    """Play a case in a temporary folder; return the exit code.

    ``case`` is called with the world and returns what broke the rule, and
    ``trouble`` tells whether it plays its disruption, for the record. Any
    error of the case or of a stand-in means that the case could not run.
    """
    record = Record(case_folder / 'record.txt')
    record.write(f'trouble: {trouble}')
    signal.signal(signal.SIGTERM, _raise_interrupt)
    try:
        with tempfile.TemporaryDirectory() as name:
            return asyncio.run(_play(record, pathlib.Path(name), case))
    except (Exception, KeyboardInterrupt) as error:
        record.write(f'the case could not run: {error!r}')
        return 2


def _raise_interrupt(number: int, frame: Any) -> None:
    raise KeyboardInterrupt


async def _play(record: Record, folder: pathlib.Path, case: Any) -> int:
    world = World(record, folder)
    try:
        world.nodes.start_all()
        broken = await asyncio.wait_for(case(world), CASE_TIMEOUT_S)
        if world.nodes.has_exited():
            raise SetupError('a node has exited')
    finally:
        await world.close()
    for line in broken:
        record.write(f'BROKEN {line}')
    record.write('the rule was broken' if broken else 'the rule held')
    return 1 if broken else 0
