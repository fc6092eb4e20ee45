"""Loopback networks that no other process of this machine uses."""

from __future__ import annotations

import itertools
import os
import socket

from verbenastream import errors

# Each deployment gets a network of its own below 127.0.0.0/8. Outgoing
# loopback connections come from 127.0.0.1, so their source ports cannot take
# a port of these addresses between its choice and its use.
_NETWORK_COUNT = 250 * 250
_NETWORKS_PER_PROCESS = 97
_MAX_ATTEMPTS = 50
_network_counter = itertools.count()


class NoFreeNetworkError(errors.VerbenastreamError):
    """No loopback network is free."""


def free_network(port: int) -> str:
    """Return a prefix such as ``127.12.7`` on which ``port`` is free."""
    for _ in range(_MAX_ATTEMPTS):
        number = os.getpid() * _NETWORKS_PER_PROCESS + next(_network_counter)
        number %= _NETWORK_COUNT
        prefix = f'127.{2 + number // 250}.{1 + number % 250}'
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f'{prefix}.1', port))
            except OSError:
                continue
            return prefix
    raise NoFreeNetworkError(
        f'none of {_MAX_ATTEMPTS} loopback networks has port {port} free',
        'End processes left over from earlier runs.',
    )
