"""Announces many instances from one process; none of them runs requests.

It simulates a large fleet for measuring the cost of control. Start it
with ``python -m verbenastream_testing.announcer_fleet --settings FILE --count
N``; FILE is the settings of one fake target.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import signal

import msgspec

from verbenastream.process import settings
from verbenastream_testing import announcer
from verbenastream_testing import target_settings

_INSTANCES_PER_RACK = 4


def fleet_settings(
    base: target_settings.TargetSettings, count: int
) -> list[target_settings.TargetSettings]:
    """Return the settings of ``count`` instances spread over data centres.

    The entries are rotated for each instance, so that the announcements spread
    over all entries as behind a load balancer.
    """
    data_centres = sorted({entry.data_centre for entry in base.entries})
    configs = []
    for number in range(count):
        data_centre = data_centres[number % len(data_centres)]
        position = number // len(data_centres)
        first_entry = position % len(base.entries)
        rack = position // _INSTANCES_PER_RACK + 1
        configs.append(
            msgspec.structs.replace(
                base,
                id=f'instance-{number + 1}',
                data_centre=data_centre,
                rack=f'{data_centre}-rack-{rack}',
                entries=base.entries[first_entry:]
                + base.entries[:first_entry],
            )
        )
    return configs


async def _announce(config: target_settings.TargetSettings, delay_s: float):
    await asyncio.sleep(delay_s)
    client = announcer.Announcer(config, lambda: 0, entries_per_round=1)
    await client.run()


async def _run(path: pathlib.Path, count: int) -> None:
    base = settings.load(path, target_settings.TargetSettings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    tasks = [
        asyncio.create_task(
            _announce(config, base.announce_interval_s * number / count)
        )
        for number, config in enumerate(fleet_settings(base, count))
    ]
    await stopping.wait()
    for task in tasks:
        task.cancel()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--settings', type=pathlib.Path, required=True)
    parser.add_argument('--count', type=int, required=True)
    arguments = parser.parse_args()
    asyncio.run(_run(arguments.settings, arguments.count))


if __name__ == '__main__':
    main()
