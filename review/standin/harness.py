"""Stand-ins of the cases: nodes, clients, workers and the platform.

Only the standard library is used. Nodes are started with the command of
``deploy/system.toml``; all addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FRONT_PORT, READY_PORT, CONTROL_PORT = 18_624, 18_622, 18_623
PORT_RANGE = [17_060, 17_075]
PLATFORM_PORT = 18_621
HOST = 'pule25.example'
# The bounds of the small deployment in sites/cc-clasifica.
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
HEARTBEAT_S = 1.5
# A worker drops an answer that is later or larger (PROTOCOL.md).
ANSWER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 4 * 2**20


class CannotRun(Exception):
    """The case could not run, which is neither a pass nor a failure."""


class Record:
    """Writes ``record.txt``; times are seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started_at = time.monotonic()
        self._file = (folder / 'record.txt').open('w', buffering=1)

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        self._file.write(f'{self.now():8.3f} {text}\n')


async def http(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body; raises ``OSError`` without one."""

    async def exchange() -> tuple[int, dict[str, str], bytes]:
        host, port = address.rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f'{method} {path} HTTP/1.1']
            given = {
                'Host': address,
                'Content-Type': 'application/json',
                'Content-Length': str(len(body)),
                'Connection': 'close',
                **(headers or {}),
            }
            lines += [f'{name}: {value}' for name, value in given.items()]
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            answer_headers = {}
            while (line := await reader.readline()).strip():
                name, _, value = line.decode().partition(':')
                answer_headers[name.strip().lower()] = value.strip()
            length = answer_headers.get('content-length')
            if length is None:
                data = await reader.read()
            else:
                data = await reader.readexactly(int(length))
            return status, answer_headers, data
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (asyncio.TimeoutError, IndexError, ValueError, EOFError) as error:
        raise OSError(f'no answer: {error!r}') from error


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, str], bytes]:
    """Call ``control`` as every caller does: follow a 307 twice."""
    for _ in range(3):
        answer = await http(address, method, path, body, timeout_s=timeout_s)
        if answer[0] != 307:
            return answer
        address, _, rest = (
            answer[1]['location'].removeprefix('http://').partition('/')
        )
        path = '/' + rest
    return answer


class Nodes:
    """The processes of the deployment: three with a disk, some without."""

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        disks: int = 3,
        diskless: int = 2,
    ) -> None:
        self._record = record
        self._folder = folder
        self.prefix = _free_prefix()
        self.count = disks + diskless
        self.disks = disks
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.unexpected: list[str] = []
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = role['roles']['node']['run'].split()
        self._command = [shutil.which(command[0]) or command[0], *command[1:]]

    def ip(self, number: int) -> str:
        return f'{self.prefix}.{number}'

    def front(self, number: int) -> str:
        return f'{self.ip(number)}:{FRONT_PORT}'

    def control(self, number: int) -> str:
        return f'{self.ip(number)}:{CONTROL_PORT}'

    @property
    def platform(self) -> str:
        return f'{self.prefix}.200:{PLATFORM_PORT}'

    def start(self, number: int, bootstrap: bool = False) -> None:
        folder = self._folder / f'node-{number}'
        folder.mkdir(exist_ok=True)
        has_disk = number <= self.disks
        ip = self.ip(number)
        zones = ['centro-a', 'centro-b', 'centro-c']
        settings = {
            'Node': f'front-{number}',
            'Role': 'node',
            'MachineClass': 'front',
            'Serves': ['front', 'control'],
            'Ip': ip,
            'Zone': zones[(number - 1) % 3],
            'Region': 'mx-centro',
            'Zones': dict.fromkeys(zones, 'mx-centro'),
            'Listen': {
                'Front': f'{ip}:{FRONT_PORT}',
                'Ready': f'{ip}:{READY_PORT}',
                'Control': f'{ip}:{CONTROL_PORT}',
            },
            'PortRange': PORT_RANGE,
            'Seeds': [self.control(i + 1) for i in range(min(3, self.disks))],
            'Bootstrap': bootstrap,
            'InTolerance': has_disk,
            'Limits': {
                'CpuShare': 0.839,
                'Cores': 2,
                'MemoryMb': 300,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 128,
            },
            'DataDir': str(folder / 'data') if has_disk else '',
            'Discovery': 'registry',
            'Entry': 'vip',
            'HeartbeatMs': int(HEARTBEAT_S * 1000),
            'Contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'recover',
                'sched',
                'advice',
                'upkeep',
                'sharing',
            ],
            'FaultTolerance': {'Machines': 1, 'Zones': 0, 'Regions': 0},
            'Bounds': BOUNDS,
            'config_mode': 'highest',
            'Orders': 'heartbeat',
            'Advice': '',
            'CloudApi': {
                'Addr': self.platform,
                'RatePerS': 64.0,
                'Duties': [],
                'DutyPerS': 64.0,
            },
        }
        path = folder / 'local.json'
        path.write_text(json.dumps(settings))
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'VERBENASTREAM_CONFIG': str(path),
        }
        with (folder / 'log').open('ab') as log:
            self.processes[number] = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._record.write(f'node {number} started, bootstrap {bootstrap}')

    def start_all(self) -> None:
        for number in range(1, self.count + 1):
            self.start(number, bootstrap=True)

    def signal(self, number: int, name: signal.Signals) -> None:
        self._record.write(f'node {number} gets {name.name}')
        self.processes[number].send_signal(name)

    def kill(self, number: int) -> None:
        self.signal(number, signal.SIGKILL)
        self.processes[number].wait()
        del self.processes[number]

    def wipe(self, number: int) -> None:
        shutil.rmtree(self._folder / f'node-{number}' / 'data')
        self._record.write(f'node {number} has lost its disk')

    def memory_mb(self, number: int) -> int:
        """Return the resident memory of a node that this case started."""
        pid = self.processes[number].pid
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
        line = next(x for x in text.splitlines() if x.startswith('VmRSS'))
        return int(line.split()[1]) // 1024

    def ended_by_themselves(self) -> list[int]:
        return [
            number
            for number, process in self.processes.items()
            if process.poll() is not None
        ]

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.processes.clear()

    async def wait_until_ready(self) -> None:
        end = time.monotonic() + 30
        while time.monotonic() < end:
            ready = 0
            for number in self.processes:
                with contextlib.suppress(OSError):
                    status, _, _ = await http(
                        f'{self.ip(number)}:{READY_PORT}', 'GET', '/ready'
                    )
                    ready += status == 200
            if ready == len(self.processes):
                return
            await asyncio.sleep(0.2)
        raise CannotRun('the nodes did not become ready')


def _free_prefix() -> str:
    for _ in range(50):
        prefix = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{prefix}.1', CONTROL_PORT))
            except OSError:
                continue
        return prefix
    raise CannotRun('no loopback network is free')


class Operator:
    """Sends configurations and repeats them until they are acknowledged."""

    def __init__(self, nodes: Nodes, record: Record) -> None:
        self._nodes = nodes
        self._record = record

    async def configure(
        self, configuration: dict[str, object], within_s: float = 15.0
    ) -> bool:
        """Return whether the configuration was acknowledged in time."""
        body = json.dumps(configuration, separators=(',', ':')).encode()
        version = configuration['Version']
        end = time.monotonic() + within_s
        pause_s = 0.2
        attempt = 0
        while time.monotonic() < end:
            number = attempt % self._nodes.count + 1
            attempt += 1
            if number not in self._nodes.processes:
                continue
            try:
                status, _, _ = await call(
                    self._nodes.control(number),
                    'PUT',
                    '/config',
                    body,
                    # A second, and more for large bodies.
                    timeout_s=1.0 + len(body) / 1e6,
                )
            except OSError as error:
                status = 0
                self._record.write(f'config {version}: {error}')
            self._record.write(
                f'config {version}, {len(body)} bytes, sent to node '
                f'{number}: {status}'
            )
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 2)
        return False


class Client:
    """A client of queues; each call goes to a node in turn."""

    def __init__(self, nodes: Nodes, record: Record) -> None:
        self._nodes = nodes
        self._record = record
        self._next = 0

    def _front(self) -> str:
        numbers = sorted(self._nodes.processes)
        self._next += 1
        return self._nodes.front(numbers[self._next % len(numbers)])

    async def call(
        self, method: str, path: str, body: bytes = b''
    ) -> tuple[int, bytes]:
        """Make one call; the status is 0 without an answer."""
        try:
            status, _, data = await http(
                self._front(),
                method,
                path,
                body,
                {'Host': HOST, 'Deadline-Ms': '3000'},
            )
        except OSError:
            status, data = 0, b''
        shown = data[:60].decode(errors='replace')
        self._record.write(f'client {method} {path} -> {status} {shown}')
        return status, data

    async def submit(
        self, path: str, spec: str, steps: list[dict[str, object]]
    ) -> bool:
        """Submit a job until there is a clear answer."""
        body = json.dumps({'Spec': spec, 'Steps': steps}).encode()
        for _ in range(10):
            status, _ = await self.call('POST', path, body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, path: str) -> str:
        """Return the shown state, or the status if there is none."""
        status, data = await self.call('GET', path)
        return json.loads(data)['State'] if status == 200 else str(status)

    async def waiting(self, prefix: str) -> int | None:
        """Return the number of waiting jobs, None without an answer."""
        status, data = await self.call('GET', prefix)
        return json.loads(data)['Waiting'] if status == 200 else None


class Run:
    """A run of a task on a worker."""

    def __init__(self, task: str, number: int, payload: str) -> None:
        self.task = task
        self.number = number
        self.payload = payload
        self.started_at = time.monotonic()
        self.stopping = False


class Worker:
    """One machine with a worker that reports itself and follows orders.

    ``duration_s`` gives the time of a task from its name and payload; None
    means that the task lasts.
    """

    def __init__(
        self,
        nodes: Nodes,
        record: Record,
        machine: str,
        service: str,
        rack: str,
        duration_s,
        cpu: int = 16_000,
        mem_mb: int = 65_536,
    ) -> None:
        self._nodes = nodes
        self._record = record
        self.machine = machine
        self.service = service
        self._rack = rack
        self._duration_s = duration_s
        self._capacity = {'Cpu': cpu, 'MemMb': mem_mb, 'Gpu': 0}
        self.id = ''
        self.up = False
        self.life = 0
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.dropped_answers = 0
        self._task: asyncio.Task[None] | None = None
        self.runs: dict[tuple[str, int], Run] = {}

    def start(self) -> None:
        """Begin a new life of the machine."""
        self.life += 1
        self.id = f'i-{self.machine}-{self.life}'
        self.up = True
        self.runs = {}
        self._ended: list[list[object]] = []
        self._last_end = 0
        self._fence = 0
        self._lease_until = 0.0
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._address: str | None = None
        self._next_node = random.randrange(self._nodes.count)
        self._wake = asyncio.Event()
        self._record.write(f'worker {self.id} starts')
        self._task = asyncio.create_task(self._live())

    def crash(self) -> None:
        """End without a word; whatever ran is gone."""
        self.up = False
        if self._task is not None:
            self._task.cancel()
        names = ' '.join(f'{task}/{number}' for task, number in self.runs)
        self._record.write(f'worker {self.id} crashes with: {names}')
        self.runs = {}

    def used_cpu(self) -> int:
        return sum(self._need(run)[0] for run in self.runs.values())

    def _need(self, run: Run) -> tuple[int, int]:
        return self.needs.get(run.task.rsplit('.', 1)[0], (0, 0))

    # Resources by ID.K.STEP, known to the worker through its payload store.
    needs: dict[str, tuple[int, int]] = {}

    async def _live(self) -> None:
        tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._report()),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task, run.number]
        self._last_end += 1
        self._ended.append([self._last_end, run.task, run.number, how, ''])
        self.ends.append((self._record.now(), run.task, run.number, how))
        if len(self.ends) <= 400:
            self._record.write(
                f'worker {self.id}: {run.task}/{run.number} ends {how}'
            )
        self._wake.set()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if now > self._lease_until:
                    self._end(run, 'lapsed')
                elif run.stopping:
                    self._end(run, 'stopped')
                else:
                    needed = self._duration_s(run.task, run.payload)
                    if needed is not None and now >= run.started_at + needed:
                        self._end(run, 'done')

    def _beat(self) -> bytes:
        self._seq += 1
        now = time.monotonic()
        running = []
        for run in self.runs.values():
            needed = self._duration_s(run.task, run.payload)
            age = now - run.started_at
            percent = 100 if needed is None else min(99, 100 * age / needed)
            if needed is None and age < 0.5:
                percent = 0
            running.append([run.task, run.number, '', int(percent), 0])
        return json.dumps(
            {
                'Service': self.service,
                'Addr': f'{self._nodes.prefix}.100:8080',
                'Zone': 'centro-a',
                'Version': 'v1',
                'Slots': 8,
                'State': 'ready',
                'ColdLeftMs': 0,
                'Capacity': self._capacity,
                'Labels': ['a', self._rack],
                'Machine': self.machine,
                'ClockMs': int(now * 1000),
                'Seq': self._seq,
                'born': self._born,
                'Running': running,
                'Ended': self._ended[:500],
            }
        ).encode()

    async def _report(self) -> None:
        while True:
            self._wake.clear()
            sent_at = time.monotonic()
            address = self._address
            if address is None:
                self._next_node += 1
                address = self._nodes.control(
                    self._next_node % self._nodes.count + 1
                )
            answer = None
            try:
                status, _, data = await call(
                    address,
                    'PUT',
                    f'/instances/{self.id}',
                    self._beat(),
                    timeout_s=ANSWER_TIMEOUT_S,
                )
                if len(data) > MAX_ANSWER_BYTES:
                    self.dropped_answers += 1
                    self._record.write(
                        f'worker {self.id} drops an answer of {len(data)} '
                        f'bytes'
                    )
                elif 200 <= status < 300:
                    answer = json.loads(data)
            except (OSError, ValueError, KeyError):
                pass
            if answer is None:
                self._address = None
                await asyncio.sleep(0.05)
                continue
            self._address = answer.get('HeartbeatAddr') or self._address
            self._obey(answer, sent_at)
            pause_s = HEARTBEAT_S
            if answer.get('RetryMs') is not None:
                pause_s = min(pause_s, answer['RetryMs'] / 1000)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._wake.wait(), pause_s)
                await asyncio.sleep(0.05)

    def _obey(self, answer: dict[str, object], sent_at: float) -> None:
        fence = int(answer.get('Fence') or 0)
        if fence < self._fence:
            return
        self._fence = fence
        seen = int(answer.get('SeenUpto') or 0)
        self._ended = [row for row in self._ended if row[0] > seen]
        if 'HoldMs' not in answer:
            return
        hold_s = min(int(answer['HoldMs']), BOUNDS['MaxHoldMs']) / 1000
        self._lease_until = max(self._lease_until, sent_at + hold_s)
        for task, number in answer.get('Stop') or []:
            run = self.runs.get((task, number))
            if run is not None:
                run.stopping = True
        for task, number, payload, *_ in answer.get('Start') or []:
            run = Run(task, number, payload)
            self.runs[task, number] = run
            self.starts.append((self._record.now(), task, number))
            if len(self.starts) <= 400:
                self._record.write(f'worker {self.id} starts {task}/{number}')


class Platform:
    """The list of machines, and calls that move or maintain them."""

    def __init__(
        self, nodes: Nodes, record: Record, workers: list[Worker]
    ) -> None:
        self._nodes = nodes
        self._record = record
        self.workers = workers
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        host, port = self._nodes.platform.rsplit(':', 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while line := await reader.readline():
                method, path, _ = line.decode().split()
                length = 0
                while (header := await reader.readline()).strip():
                    name, _, value = header.decode().partition(':')
                    if name.lower() == 'content-length':
                        length = int(value)
                await reader.readexactly(length)
                status, body = self._answer(method, path.split('?')[0])
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
                    + body
                )
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _answer(self, method: str, path: str) -> tuple[int, bytes]:
        if (method, path) != ('GET', '/machines'):
            self._record.write(f'platform: {method} {path} -> 400')
            return 400, b'{}'
        rows = [
            {
                'Machine': worker.machine,
                'Pool': worker.service,
                'State': 'up' if worker.up else 'down',
                'Zone': 'centro-a',
                'Labels': ['a', worker._rack],
                'Capacity': worker._capacity,
                'Id': worker.id if worker.up else '',
            }
            for worker in self.workers
        ]
        return 200, json.dumps({'Machines': rows, 'NextToken': ''}).encode()


def route(name: str, prefix: str, service: str, **more) -> dict[str, object]:
    """Return a route of a configuration."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': prefix,
        'Kind': 'non_idempotent',
        'TimeoutMs': 3000,
        'SloMs': 3600,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': 3,
        'Stretch': 1.6,
        **more,
    }


def configuration(
    version: int, routes: list[dict[str, object]], services: list[str]
) -> dict[str, object]:
    """Return a configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {
                'Name': name,
                'HealthPath': '/health',
                'MaxConns': 64,
                'Protocol': 'h1',
                'Tls': False,
                'AdmissionCheck': True,
                'Spare': False,
            }
            for name in services
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 262144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def main(case, folder: pathlib.Path, trouble: bool) -> int:
    """Run ``case(record, nodes, trouble)``; return the exit code.

    The case returns a list of broken rules, empty if all held.
    """
    # All processes are ended also when the case itself is told to end.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    target = pathlib.Path(folder).resolve()
    record = Record(target)
    record.write(f'trouble {trouble}')
    with tempfile.TemporaryDirectory(prefix='review-') as temporary:
        nodes = None

        async def run() -> list[str]:
            nonlocal nodes
            nodes = Nodes(pathlib.Path(temporary), record)
            return await asyncio.wait_for(case(record, nodes, trouble), 115)

        try:
            broken = asyncio.run(run())
        except CannotRun as error:
            record.write(f'cannot run: {error}')
            print(f'cannot run: {error}')
            return 2
        except Exception as error:
            record.write(f'cannot run: {error!r}')
            print(f'cannot run: {error!r}')
            return 2
        finally:
            if nodes is not None:
                nodes.close()
                if os.environ.get('KEEP_LOGS'):
                    shutil.copytree(
                        temporary,
                        os.environ['KEEP_LOGS'],
                        dirs_exist_ok=True,
                    )
    for text in broken:
        record.write(f'BROKEN {text}')
        print(f'BROKEN {text}')
    if not broken:
        record.write('held')
        print('held')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit('run one of the cases')
