"""Builds the answers that callers get; each states the outcome."""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

from aiohttp import web
import multidict

from verbenastream.connection.proxying import headers as header_rules
from verbenastream import errors
from verbenastream.request import claims

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.process.entry import attempts
    from verbenastream.request import actions

# Set on a streamed response: the SHA-256 of its whole body.
BODY_SHA256 = 'verbenastream.body_sha256'

_RECORDED_BYTES = 64 * 1024


class Refusal(errors.VerbenastreamError):
    """A request that does not enter the queue; its work did not run."""

    def __init__(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, 'Nothing was run.')
        self.status = status
        self.retry_after_s = retry_after_s


def refused(id: ids.RequestId, refusal: Refusal) -> web.Response:
    """Return the answer to a refused request."""
    return _plain(
        id,
        refusal.status,
        claims.Outcome.NOT_RUN,
        str(refusal),
        refusal.retry_after_s,
    )


def finished(action: actions.Finish) -> web.Response:
    """Return the answer that the dispatcher decided on."""
    return _plain(
        action.id,
        action.status,
        action.outcome,
        action.reason,
        action.retry_after_s,
    )


def claimed_elsewhere(
    id: ids.RequestId, reply: claims.ClaimReply
) -> web.Response:
    """Return the answer to a keyed request that must not run now."""
    match reply.state:
        case claims.ClaimState.ANSWERED if reply.answer is not None:
            return _recorded(id, reply.answer)
        case claims.ClaimState.MISMATCH:
            return _plain(
                id,
                422,
                claims.Outcome.NOT_RUN,
                'the key was used with another request. Use a new key',
            )
        case claims.ClaimState.IN_PROGRESS:
            return _plain(
                id,
                409,
                claims.Outcome.UNKNOWN,
                'a request with this key is in progress. Ask again later',
                retry_after_s=1.0,
            )
        case _:
            return _plain(
                id,
                409,
                claims.Outcome.UNKNOWN,
                'the outcome of this key is unknown. Check the result',
            )


def whole(answer: attempts.Answered) -> web.Response:
    """Return a target's answer that is complete in memory."""
    headers = answer.headers.copy()
    headers[header_rules.OUTCOME_HEADER] = claims.Outcome.RAN.value
    return web.Response(
        status=answer.status, headers=headers, body=answer.body
    )


def streaming(answer: attempts.Streaming) -> web.StreamResponse:
    """Return the unprepared response for a large answer."""
    headers = answer.headers.copy()
    headers[header_rules.OUTCOME_HEADER] = claims.Outcome.RAN.value
    return web.StreamResponse(status=answer.status, headers=headers)


def record(response: web.StreamResponse) -> claims.RecordedAnswer:
    """Return what is kept of a response for repeats of its key."""
    headers = tuple(
        # aiohttp's names are a subclass of str that JSON encoders refuse.
        (str(name), value)
        for name, value in response.headers.items()
        if name
        not in (header_rules.OUTCOME_HEADER, header_rules.REQUEST_ID_HEADER)
    )
    if isinstance(response, web.Response) and isinstance(response.body, bytes):
        body = response.body
        return claims.RecordedAnswer(
            response.status,
            headers,
            hashlib.sha256(body).hexdigest(),
            body if len(body) <= _RECORDED_BYTES else None,
        )
    return claims.RecordedAnswer(
        response.status, headers, response.get(BODY_SHA256, ''), None
    )


def _recorded(
    id: ids.RequestId, answer: claims.RecordedAnswer
) -> web.Response:
    if answer.body is None:
        return _plain(
            id,
            409,
            claims.Outcome.RAN,
            f'the work ran with status {answer.status}; its answer was too '
            f'large to keep, SHA-256 {answer.body_sha256}',
        )
    headers = multidict.CIMultiDict(answer.headers)
    headers.popall('Content-Length', None)
    headers[header_rules.OUTCOME_HEADER] = claims.Outcome.RAN.value
    headers[header_rules.REQUEST_ID_HEADER] = id
    return web.Response(
        status=answer.status, headers=headers, body=answer.body
    )


def _plain(
    id: ids.RequestId,
    status: int,
    outcome: claims.Outcome,
    reason: str,
    retry_after_s: float | None = None,
) -> web.Response:
    headers = {
        header_rules.OUTCOME_HEADER: outcome.value,
        header_rules.REQUEST_ID_HEADER: id,
    }
    if retry_after_s is not None:
        headers['Retry-After'] = str(max(1, math.ceil(retry_after_s)))
    return web.Response(status=status, headers=headers, text=f'{reason}\n')
