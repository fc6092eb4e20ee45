"""Writes the sample settings and documents of both deployments.

Run ``python -m verbenastream_testing.write_examples examples`` after a change
of a schema or of ``samples``.
"""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

from verbenastream.process import settings
from verbenastream import wire
from verbenastream_testing import samples

_CALLER_PORT = 8000
_PEER_PORT = 8001
_CONTROL_PORT = 8002
_CONTROL_COUNT = 3
_NETWORK_BY_REGION = {'mexico': '10.52', 'ghana': '10.233'}
# This key is public; a deployment must replace it before its first start.
_SAMPLE_KEY = '00112233445566778899aabbccddeeff' * 2
_TLS = settings.TlsFiles(
    certificate='/etc/verbenastream/tls/instance.pem',
    key='/etc/verbenastream/tls/instance.key',
    authority='/etc/verbenastream/tls/authority.pem',
)


def files(sample: samples.Fleet) -> dict[str, Any]:
    """Return the content by file name, relative to the examples folder."""
    values_by_name: dict[str, Any] = {}
    for number in range(_CONTROL_COUNT):
        config = _control(sample, number)
        values_by_name[f'{sample.region}/settings/{config.id}.json'] = config
    for number in range(sample.entries):
        entry = _entry(sample, number)
        values_by_name[f'{sample.region}/settings/{entry.id}.json'] = entry
    for service in sample.services:
        name = f'{sample.region}/documents/{service}.json'
        values_by_name[name] = samples.document(sample, service)
    return values_by_name


def text(value: Any) -> str:
    """Return a value as indented JSON, the format of the files."""
    decoded = json.loads(wire.encode(value))
    return json.dumps(decoded, indent=2, ensure_ascii=False) + '\n'


def _data_centre(sample: samples.Fleet, number: int) -> str:
    return sample.data_centres[number % len(sample.data_centres)]


def _address(sample: samples.Fleet, number: int) -> str:
    """Return the address of instance ``number``.

    The third part of the address is the number of the data centre.
    """
    network = _NETWORK_BY_REGION[sample.region]
    count = len(sample.data_centres)
    return f'{network}.{1 + number % count}.{10 + number // count}'


def _control_peers(sample: samples.Fleet) -> dict[str, settings.Peer]:
    return {
        f'control-{number + 1}': settings.Peer(
            _address(sample, number), _CONTROL_PORT
        )
        for number in range(_CONTROL_COUNT)
    }


def _control(sample: samples.Fleet, number: int) -> settings.ControlSettings:
    return settings.ControlSettings(
        id=f'control-{number + 1}',
        data_centre=_data_centre(sample, number),
        region=sample.region,
        deployment=settings.Deployment(sample.name, _SAMPLE_KEY),
        listener=settings.Listener(
            _address(sample, number), _CONTROL_PORT, _TLS
        ),
        peer_tls=_TLS,
        data_folder='/var/lib/verbenastream',
        replicas=_control_peers(sample),
        teams={
            f'{service}-team': settings.Team(
                samples.sha256(samples.team_key(service)), (service,)
            )
            for service in sample.services
        },
        weights=settings.Weights(**sample.weights),
    )


def _entry(sample: samples.Fleet, number: int) -> settings.EntrySettings:
    address = _address(sample, number)
    return settings.EntrySettings(
        id=f'entry-{number + 1}',
        data_centre=_data_centre(sample, number),
        region=sample.region,
        deployment=settings.Deployment(sample.name, _SAMPLE_KEY),
        callers=settings.Listener(address, _CALLER_PORT, _TLS),
        peers=settings.Listener(address, _PEER_PORT, _TLS),
        control=tuple(_control_peers(sample).values()),
        peer_tls=_TLS,
    )


def main(arguments: list[str]) -> int:
    folder = pathlib.Path(arguments[0])
    for sample in (samples.MEXICO, samples.GHANA):
        for name, value in files(sample).items():
            path = folder / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text(value), encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
