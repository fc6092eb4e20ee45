"""Metrics of the data folder of a replica."""

from __future__ import annotations

import math
import pathlib
import shutil
from typing import Protocol
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenastream.process import metrics

LOG = logbook.Logger(__name__)


class _Status(Protocol):
    """The part of a replica's status that is exposed."""

    @property
    def failure(self) -> str:
        """Why writing fails, empty while the data folder accepts writes."""
        ...


def register_gauges(
    registry: metrics.Metrics,
    status: Callable[[], _Status],
    data_folder: pathlib.Path,
) -> None:
    """Expose whether ``data_folder`` accepts writes and its free bytes.

    ::

        register_gauges(registry, replica.status, pathlib.Path('/data'))
    """
    registry.gauge(
        'verbenastream_storage_writable',
        '0 while the data folder refuses writes.',
    ).set_function(lambda: float(not status().failure))
    registry.gauge(
        'verbenastream_storage_free_bytes',
        'Free bytes on the disk of the data folder.',
    ).set_function(lambda: _free_bytes(data_folder))


def _free_bytes(data_folder: pathlib.Path) -> float:
    try:
        return float(shutil.disk_usage(data_folder).free)
    except OSError as error:
        LOG.warning('the free space of the disk is not known: {}', error)
        return math.nan
