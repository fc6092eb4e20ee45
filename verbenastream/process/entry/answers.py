"""Builds the responses to callers, each with the outcome in a header."""

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

# Key of a streamed response under which the SHA-256 of its body is stored.
BODY_SHA256 = 'verbenastream.body_sha256'

_MAX_RECORDED_BYTES = 64 * 1024


class RequestRefusedError(errors.VerbenastreamError):
    """The request was refused before it was queued; its work did not run."""

    def __init__(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, 'Nothing was run.')
        self.status = status
        self.retry_after_s = retry_after_s


def refused_response(
    id: ids.RequestId, error: RequestRefusedError
) -> web.Response:
    """Return the response to a refused request."""
    return _text_response(
        id,
        error.status,
        claims.Outcome.NOT_RUN,
        str(error),
        error.retry_after_s,
    )


def finished_response(action: actions.Finish) -> web.Response:
    """Return the response that the dispatcher decided on."""
    return _text_response(
        action.id,
        action.status,
        action.outcome,
        action.reason,
        action.retry_after_s,
    )


def claim_response(
    id: ids.RequestId, reply: claims.ClaimReply
) -> web.Response:
    """Return the response to a keyed request that must not be sent."""
    match reply.state:
        case claims.ClaimState.ANSWERED if reply.answer is not None:
            return _recorded_response(id, reply.answer)
        case claims.ClaimState.MISMATCH:
            return _text_response(
                id,
                422,
                claims.Outcome.NOT_RUN,
                'the key was used with another request. Use a new key',
            )
        case claims.ClaimState.IN_PROGRESS:
            return _text_response(
                id,
                409,
                claims.Outcome.UNKNOWN,
                'a request with this key is in progress. Ask again later',
                retry_after_s=1.0,
            )
        case _:
            return _text_response(
                id,
                409,
                claims.Outcome.UNKNOWN,
                'the outcome of this key is unknown. Check the result',
            )


def buffered_response(answer: attempts.BufferedAnswer) -> web.Response:
    """Return the response for an answer that is held in memory."""
    headers = answer.headers.copy()
    headers[header_rules.OUTCOME_HEADER] = claims.Outcome.RAN.value
    return web.Response(
        status=answer.status, headers=headers, body=answer.body
    )


def streamed_response(answer: attempts.StreamedAnswer) -> web.StreamResponse:
    """Return the unprepared response for an answer that is streamed."""
    headers = answer.headers.copy()
    headers[header_rules.OUTCOME_HEADER] = claims.Outcome.RAN.value
    return web.StreamResponse(status=answer.status, headers=headers)


def record_response(response: web.StreamResponse) -> claims.RecordedAnswer:
    """Return what is stored of a response to answer repeats of its key."""
    headers = tuple(
        # aiohttp's names are a subclass of str that JSON encoders reject.
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
            body if len(body) <= _MAX_RECORDED_BYTES else None,
        )
    return claims.RecordedAnswer(
        response.status, headers, response.get(BODY_SHA256, ''), None
    )


def _recorded_response(
    id: ids.RequestId, answer: claims.RecordedAnswer
) -> web.Response:
    if answer.body is None:
        return _text_response(
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


def _text_response(
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
