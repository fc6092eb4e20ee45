"""A complete deployment as real processes on loopback."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import aiohttp

from verbenastream import errors
from verbenastream_testing import balancer
from verbenastream_testing import fault_proxy
from verbenastream_testing import faults
from verbenastream_testing import run_ledger
from verbenastream_testing import target_settings
from verbenastream_testing import world

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenastream_testing import deployment as deployments
    from verbenastream_testing import supervisor

_READY_TIMEOUT_S = 30.0
_STATE_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class TargetError(errors.VerbenastreamError):
    """A fake target did not accept a control request."""


class Cluster:
    """Starts, signals and stops the processes of one deployment.

    Control processes, entries and targets are addressed by their ids, such as
    ``control-1``, ``entry-2`` and ``worker-3``. With ``by_rack`` the targets
    of a rack share a process that has the name of the rack.
    """

    def __init__(
        self,
        layout: deployments.LoopbackDeployment,
        processes: supervisor.Supervisor,
        session: aiohttp.ClientSession,
        by_rack: bool = False,
    ) -> None:
        self.layout = layout
        self.processes = processes
        self.session = session
        self.balancer = balancer.Balancer(
            {name: layout.caller_url(name) for name in layout.entries_by_id}
        )
        self._starts_by_target: dict[str, int] = {}
        self._by_rack = by_rack
        self.links = faults.Links()
        self._proxies: list[fault_proxy.FaultProxy] = []

    async def start(self) -> None:
        """Start all processes; wait until control and targets are ready.

        Entries are ready once they have a lease and a document is in force,
        so ``wait_entries`` follows the first submission.
        """
        self.layout.write()
        await self._start_proxies()
        for name in self.layout.controls_by_id:
            self.start_control(name)
        for name in self.layout.entries_by_id:
            self.start_entry(name)
        targets = list(self.layout.targets_by_id)
        if self._by_rack:
            targets = list(self.racks())
        for name in targets:
            self.start_target(name)
        await self.processes.wait_ready(
            [*self.layout.controls_by_id, *targets], _READY_TIMEOUT_S
        )
        await self.balancer.start(self.session)

    async def stop(self) -> None:
        await self.balancer.stop()
        for proxy in self._proxies:
            await proxy.stop()

    def start_control(self, name: str) -> None:
        self._start(
            name,
            'verbenastream.process.control',
            self.layout.control_url(name),
        )

    def start_entry(self, name: str) -> None:
        self._start(
            name, 'verbenastream.process.entry', self.layout.caller_url(name)
        )

    def start_target(self, name: str) -> None:
        """Start a target or a rack of targets, each with a new incarnation."""
        members = self.racks().get(name, [name])
        arguments = []
        for member in members:
            number = self._starts_by_target.get(member, 0) + 1
            self._starts_by_target[member] = number
            self.layout.set_incarnation(member, number)
            arguments += ['--settings', str(self.layout.settings_file(member))]
        self.processes.start(
            name,
            'verbenastream_testing.fake_target',
            arguments,
            self.layout.target_url(members[0]),
        )

    async def wait_entries(
        self, names: Iterable[str] | None = None, limit_s: float = 20.0
    ) -> None:
        entries = list(names or self.layout.entries_by_id)
        await self.processes.wait_ready(entries, limit_s)

    async def wait_assigned(
        self, count: int, limit_s: float = 30.0
    ) -> dict[str, str]:
        """Wait until ``count`` targets have a pool; return pool by target."""

        async def assigned() -> dict[str, str] | None:
            pools = await self.pools()
            return pools if len(pools) >= count else None

        pools_by_target = await world.until(
            f'{count} targets have a pool', assigned, limit_s
        )
        assert pools_by_target is not None
        return pools_by_target

    async def pools(self) -> dict[str, str]:
        """Return the pool of each target that has one, by target."""
        pools_by_target = {}
        for name in self.layout.targets_by_id:
            state = await self.target_state(name)
            if state is not None and state['pool']:
                pools_by_target[name] = state['pool']
        return pools_by_target

    async def target_state(self, name: str) -> dict | None:
        """Return pool, epoch and running count of a target, None if down."""
        url = self.layout.target_url(name)
        try:
            async with self.session.get(
                f'{url}/readyz', timeout=_STATE_TIMEOUT
            ) as answer:
                return await answer.json()
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return None

    async def set_behaviour(
        self, target: str, behaviour: target_settings.Behaviour
    ) -> None:
        body = {
            'fault': behaviour.fault.value,
            'factor': behaviour.factor,
            'running': behaviour.running,
        }
        await self._control_target(target, 'behaviour', body)

    async def leave(self, target: str) -> None:
        """Make a target announce that it leaves."""
        await self._control_target(target, 'leave', {})

    async def reboot(self, target: str) -> None:
        """Make a drained target return with a new incarnation."""
        await self._control_target(target, 'reboot', {})

    def kill(self, name: str) -> None:
        self.processes.kill(name)

    def pause(self, name: str) -> None:
        self.processes.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.processes.signal(name, signal.SIGCONT)

    def racks(self) -> dict[str, list[str]]:
        """Return the targets of each rack."""
        racks: dict[str, list[str]] = {}
        for name, config in self.layout.targets_by_id.items():
            racks.setdefault(config.rack, []).append(name)
        return racks

    def processes_in(self, data_centre: str) -> list[str]:
        """Return the names of all processes of a data centre."""
        configs_by_kind = (
            self.layout.controls_by_id,
            self.layout.entries_by_id,
            self.layout.targets_by_id,
        )
        return [
            name
            for by_id in configs_by_kind
            for name, config in by_id.items()
            if config.data_centre == data_centre
        ]

    def runs(self) -> list[run_ledger.RunEvent]:
        """Return the recorded run events of all targets."""
        return [
            event
            for path in self.layout.ledger_files()
            for event in run_ledger.read_runs(path)
        ]

    async def wait_idle(self, limit_s: float = 30.0) -> None:
        """Wait until no reachable target has a run in progress."""

        async def idle() -> bool:
            states = await asyncio.gather(
                *(self.target_state(t) for t in self.layout.targets_by_id)
            )
            return not any(state and state['running'] for state in states)

        await world.until('no target runs anything', idle, limit_s)

    async def _start_proxies(self) -> None:
        for name, route in self.layout.proxy_routes().items():
            listen, upstream, port = route
            proxy = fault_proxy.FaultProxy(
                faults.Party(name),
                (listen, port),
                (upstream, port),
                self.links,
                seed=1,
            )
            await proxy.start()
            self._proxies.append(proxy)

    def _start(self, name: str, module: str, url: str) -> None:
        path = str(self.layout.settings_file(name))
        self.processes.start(name, module, ['--settings', path], url)

    async def _control_target(
        self, target: str, path: str, body: dict
    ) -> None:
        url = f'{self.layout.target_url(target)}/fake/{path}'
        async with self.session.post(url, json=body) as answer:
            if answer.status != 200:
                raise TargetError(
                    f'{target} answered {answer.status} to {path}',
                    'Read the log of the target.',
                )
