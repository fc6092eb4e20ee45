"""Header rules of RFC 9110 for a proxy."""

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
# A target sets this header on a 409 when it refused before running anything.
REJECTED_HEADER = 'Verbenastream-Rejected'
DEADLINE_HEADER = 'Verbenastream-Deadline-Ms'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
CONTENT_DIGEST_HEADER = 'Content-Digest'

_HOP_BY_HOP = frozenset(
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
# Callers must not be able to set what the system vouches for. The key of the
# caller is not a target's business. The client session sets the host, and
# the entry answers "Expect: 100-continue" itself.
_NOT_FORWARDED = frozenset(
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


def _end_to_end(
    headers: Mapping[str, str],
) -> multidict.CIMultiDict[str]:
    kept = multidict.CIMultiDict(headers)
    named = kept.get('Connection')
    if named is not None:
        for name in named.split(','):
            kept.popall(name.strip(), None)
    for name in _HOP_BY_HOP:
        kept.popall(name, None)
    return kept


def for_target(
    headers: Mapping[str, str],
    remote: str,
    customer: ids.CustomerId,
    start: actions.StartAttempt,
    deadline_s: float,
) -> multidict.CIMultiDict[str]:
    """Return the headers of the request to a target.

    ``deadline_s`` is the time that its caller still waits; the attempt itself
    may last longer, so that its slot is not given away too early.
    """
    kept = _end_to_end(headers)
    for name in _NOT_FORWARDED:
        kept.popall(name, None)
    earlier = kept.popall('X-Forwarded-For', [])
    kept['X-Forwarded-For'] = ', '.join([*earlier, remote])
    kept[CUSTOMER_HEADER] = customer
    kept[POOL_HEADER] = start.pool
    kept[EPOCH_HEADER] = str(start.epoch)
    kept[REQUEST_ID_HEADER] = start.id
    kept[DEADLINE_HEADER] = str(max(1, int(deadline_s * 1000)))
    return kept


def for_caller(
    headers: Mapping[str, str], request_id: ids.RequestId
) -> multidict.CIMultiDict[str]:
    """Return the headers of a target's response as the caller gets them."""
    kept = _end_to_end(headers)
    kept.popall(OUTCOME_HEADER, None)
    kept.popall(REJECTED_HEADER, None)
    kept[REQUEST_ID_HEADER] = request_id
    return kept
