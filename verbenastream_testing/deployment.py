"""Settings files of a complete deployment on loopback."""

from __future__ import annotations

import dataclasses
import pathlib

import msgspec

from verbenastream.process import settings
from verbenastream import wire
from verbenastream_testing import loopback
from verbenastream_testing import samples
from verbenastream_testing import target_settings

_CALLER_PORT = 8000
_PEER_PORT = 8001
_CONTROL_PORT = 8002
_TARGET_PORT = 9000
# Host numbers within the deployment's /24 network.
_FIRST_CONTROL = 1
_FIRST_ENTRY = 20
_FIRST_TARGET = 60
# A process behind a fault proxy is addressed at its host number plus this.
_PROXY_OFFSET = 128
_DEPLOYMENT_KEY = '7f' * 32
_TLS_OFF = settings.TlsOff.OFF


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    controls: int = 3
    entries: int = 4
    targets: int = 8


@dataclasses.dataclass(slots=True)
class LoopbackDeployment:
    """The settings of all processes of a deployment and their files.

    ``network`` is a prefix such as ``127.12.7``. Host numbers are fixed, so
    an address in a log identifies its process.
    """

    sample: samples.Fleet
    size: Size
    folder: pathlib.Path
    network: str
    controls_by_id: dict[str, settings.ControlSettings]
    entries_by_id: dict[str, settings.EntrySettings]
    targets_by_id: dict[str, target_settings.TargetSettings]
    proxied: bool = False

    @classmethod
    def from_config(
        cls,
        sample: samples.Fleet,
        size: Size,
        folder: pathlib.Path,
        entry_timings: settings.EntryTimings | None = None,
        control_timings: settings.ControlTimings | None = None,
        proxied: bool = False,
    ) -> LoopbackDeployment:
        """Choose a free loopback network and create all settings.

        With ``proxied`` all processes connect to each other through fault
        proxies, which the cluster starts.
        """
        layout = cls(
            sample,
            size,
            folder,
            loopback.free_network(_CONTROL_PORT),
            {},
            {},
            {},
            proxied,
        )
        layout._add_controls(control_timings or settings.ControlTimings())
        layout._add_entries(entry_timings or settings.EntryTimings())
        layout._add_targets()
        return layout

    @property
    def deployment(self) -> settings.Deployment:
        return settings.Deployment(self.sample.name, _DEPLOYMENT_KEY)

    def control_peers(self) -> dict[str, settings.Peer]:
        """Return the addresses at which other processes reach control."""
        return {
            f'control-{number + 1}': settings.Peer(
                self._reachable_address(_FIRST_CONTROL + number), _CONTROL_PORT
            )
            for number in range(self.size.controls)
        }

    def caller_url(self, entry: str) -> str:
        listener = self.entries_by_id[entry].callers
        return f'http://{listener.address}:{listener.port}'

    def entry_peer_url(self, entry: str) -> str:
        listener = self.entries_by_id[entry].peers
        return f'http://{listener.address}:{listener.port}'

    def control_url(self, control: str) -> str:
        listener = self.controls_by_id[control].listener
        return f'http://{listener.address}:{listener.port}'

    def target_url(self, target: str) -> str:
        config = self.targets_by_id[target]
        return f'http://{config.address}:{config.port}'

    def write(self) -> None:
        """Write one settings file per process below ``folder``."""
        folder = self.folder / 'settings'
        folder.mkdir(parents=True, exist_ok=True)
        configs_by_name = {
            **self.controls_by_id,
            **self.entries_by_id,
            **self.targets_by_id,
        }
        for name, config in configs_by_name.items():
            self.settings_file(name).write_bytes(wire.encode(config))

    def settings_file(self, name: str) -> pathlib.Path:
        return self.folder / 'settings' / f'{name}.json'

    def set_incarnation(self, target: str, incarnation: int) -> None:
        """Write a target's settings for its next start."""
        config = msgspec.structs.replace(
            self.targets_by_id[target], incarnation=incarnation
        )
        self.targets_by_id[target] = config
        self.settings_file(target).write_bytes(wire.encode(config))

    def ledger_files(self) -> list[pathlib.Path]:
        return [
            pathlib.Path(config.ledger)
            for config in self.targets_by_id.values()
        ]

    def proxy_routes(self) -> dict[str, tuple[str, str, int]]:
        """Return (proxy address, own address, port) by process."""
        if not self.proxied:
            return {}
        routes = {}
        for number, name in enumerate(self.controls_by_id):
            host = _FIRST_CONTROL + number
            routes[name] = self._route(host, _CONTROL_PORT)
        for number, name in enumerate(self.entries_by_id):
            routes[name] = self._route(_FIRST_ENTRY + number, _PEER_PORT)
        for number, name in enumerate(self.targets_by_id):
            routes[name] = self._route(_FIRST_TARGET + number, _TARGET_PORT)
        return routes

    def _route(self, host: int, port: int) -> tuple[str, str, int]:
        return self._reachable_address(host), self._address(host), port

    def _reachable_address(self, host: int) -> str:
        return self._address(host + _PROXY_OFFSET * self.proxied)

    def _address(self, host: int) -> str:
        return f'{self.network}.{host}'

    def _data_centre(self, number: int) -> str:
        return self.sample.data_centres[number % len(self.sample.data_centres)]

    def _add_controls(self, timings: settings.ControlTimings) -> None:
        teams = {
            f'{service}-team': settings.Team(
                samples.sha256(samples.team_key(service)), (service,)
            )
            for service in self.sample.services
        }
        peers = self.control_peers()
        for number, name in enumerate(peers):
            self.controls_by_id[name] = settings.ControlSettings(
                id=name,
                data_centre=self._data_centre(number),
                region=self.sample.region,
                deployment=self.deployment,
                listener=settings.Listener(
                    self._address(_FIRST_CONTROL + number),
                    _CONTROL_PORT,
                    _TLS_OFF,
                ),
                peer_tls=_TLS_OFF,
                data_folder=str(self.folder / 'data' / name),
                replicas=peers,
                teams=teams,
                weights=settings.Weights(**self.sample.weights),
                timings=timings,
            )

    def _add_entries(self, timings: settings.EntryTimings) -> None:
        for number in range(self.size.entries):
            name = f'entry-{number + 1}'
            address = self._address(_FIRST_ENTRY + number)
            self.entries_by_id[name] = settings.EntrySettings(
                id=name,
                data_centre=self._data_centre(number),
                region=self.sample.region,
                deployment=self.deployment,
                callers=settings.Listener(address, _CALLER_PORT, _TLS_OFF),
                peers=settings.Listener(address, _PEER_PORT, _TLS_OFF),
                control=tuple(self.control_peers().values()),
                peer_tls=_TLS_OFF,
                timings=timings,
                advertised=settings.Peer(
                    self._reachable_address(_FIRST_ENTRY + number), _PEER_PORT
                ),
            )

    def _add_targets(self) -> None:
        entries = tuple(
            target_settings.EntryAddress(
                config.data_centre,
                self._reachable_address(_FIRST_ENTRY + number),
                _PEER_PORT,
            )
            for number, config in enumerate(self.entries_by_id.values())
        )
        for number in range(self.size.targets):
            name = f'worker-{number + 1}'
            data_centre = self._data_centre(number)
            rack = number // (
                len(self.sample.data_centres) * self.sample.workers_per_rack
            )
            self.targets_by_id[name] = target_settings.TargetSettings(
                id=name,
                incarnation=1,
                data_centre=data_centre,
                rack=f'{data_centre}-rack-{rack + 1}',
                address=self._address(_FIRST_TARGET + number),
                port=_TARGET_PORT,
                announced_address=self._reachable_address(
                    _FIRST_TARGET + number
                ),
                deployment=self.deployment,
                entries=entries,
                ledger=str(self.folder / 'ledgers' / f'{name}.jsonl'),
                resources=self.sample.resources,
            )
