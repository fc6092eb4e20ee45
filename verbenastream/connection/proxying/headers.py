"""Headers that a proxy forwards by RFC 9110."""

from __future__ import annotations

from typing import TYPE_CHECKING

import multidict

from verbenastream import ids

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenastream.request import actions

OUTCOME_HEADER = 'Verbenastream-Outcome'
REQUEST_ID_HEADER = 'Verbenastream-Request-Id'
CUSTOMER_HEADER = 'Verbenastream-Customer'
POOL_HEADER = 'Verbenastream-Pool'
EPOCH_HEADER = 'Verbenastream-Epoch'
# A target sets this header on a 409 if it refused the request unprocessed.
REJECTED_HEADER = 'Verbenastream-Rejected'
DEADLINE_HEADER = 'Verbenastream-Deadline-Ms'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
CONTENT_DIGEST_HEADER = 'Content-Digest'

_HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# Callers must not be able to forge the headers that the entry sets, and
# targets must not see the keys of callers. The client session sets the host,
# and the entry answers "Expect: 100-continue" itself.
_NOT_FORWARDED_HEADERS = frozenset(
    {
        'authorization',
        'host',
        'expect',
        CUSTOMER_HEADER.lower(),
        POOL_HEADER.lower(),
        EPOCH_HEADER.lower(),
        REQUEST_ID_HEADER.lower(),
    }
)


def _without_hop_by_hop(
    headers: Mapping[str, str],
) -> multidict.CIMultiDict[str]:
    forwarded = multidict.CIMultiDict(headers)
    connection_options = forwarded.get('Connection')
    if connection_options is not None:
        for name in connection_options.split(','):
            forwarded.popall(name.strip(), None)
    for name in _HOP_BY_HOP_HEADERS:
        forwarded.popall(name, None)
    return forwarded


def target_request_headers(
    headers: Mapping[str, str],
    remote: str,
    customer: ids.CustomerId,
    start: actions.StartAttempt,
    deadline_s: float,
) -> multidict.CIMultiDict[str]:
    """Return the headers of the request to a target.

    ``deadline_s`` is the time for which the caller still waits. The attempt
    may take longer, so that its slot is not released too early.
    """
    forwarded = _without_hop_by_hop(headers)
    for name in _NOT_FORWARDED_HEADERS:
        forwarded.popall(name, None)
    forwarded_for = forwarded.popall('X-Forwarded-For', [])
    forwarded['X-Forwarded-For'] = ', '.join([*forwarded_for, remote])
    forwarded[CUSTOMER_HEADER] = customer
    forwarded[POOL_HEADER] = start.pool
    forwarded[EPOCH_HEADER] = str(start.epoch)
    forwarded[REQUEST_ID_HEADER] = start.id
    forwarded[DEADLINE_HEADER] = str(max(1, int(deadline_s * 1000)))
    return forwarded


def caller_response_headers(
    headers: Mapping[str, str], request_id: ids.RequestId
) -> multidict.CIMultiDict[str]:
    """Return the headers of a target's response for the caller."""
    forwarded = _without_hop_by_hop(headers)
    forwarded.popall(OUTCOME_HEADER, None)
    forwarded.popall(REJECTED_HEADER, None)
    forwarded[REQUEST_ID_HEADER] = request_id
    return forwarded
