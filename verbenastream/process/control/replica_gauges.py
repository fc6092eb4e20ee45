"""Metrics of one replica of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenastream.process.control import replicas
    from verbenastream.process import metrics


def register(registry: metrics.Metrics, replica: replicas.Replica) -> None:
    """Expose leadership, term and progress of ``replica``.

    The indexes tell replicas that cannot store (the durable one stands still)
    from a log without a majority (the committed one does)::

        replica_gauges.register(registry, replica)
    """
    for name, help_text, value in (
        (
            'verbenastream_leader',
            '1 while this replica leads and holds its lease.',
            lambda: replica.is_leader,
        ),
        (
            'verbenastream_term',
            'Term of the replicated log.',
            lambda: replica.term,
        ),
        (
            'verbenastream_commit_index',
            'Last log index that this replica knows to be committed.',
            lambda: replica.status().commit,
        ),
        (
            'verbenastream_durable_index',
            'Last log index that this replica has stored durably.',
            lambda: replica.status().durable,
        ),
    ):
        registry.gauge(name, help_text).set_function(value)
