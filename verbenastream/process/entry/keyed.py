"""Claims idempotency keys and records the outcomes of their requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from verbenastream.connection import peers
from verbenastream.connection.proxying import headers as header_rules
from verbenastream.process import clock
from verbenastream.process.entry import answers
from verbenastream.request import claims

if TYPE_CHECKING:
    from verbenastream.process.entry import claiming
    from verbenastream.request import events

_CLAIM_TIMEOUT_S = 3.0


class KeyClaimer:
    """Claims a keyed request before it is sent and records its outcome."""

    def __init__(self, client: claiming.ClaimClient) -> None:
        self._client = client

    async def claim(
        self, info: events.RequestInfo, digest: str
    ) -> web.Response | None:
        """Return None if the request may be sent, else its response."""
        assert info.key is not None
        timeout_s = min(_CLAIM_TIMEOUT_S, info.deadline - clock.boot_time())
        try:
            reply = await self._client.claim(
                info.customer,
                info.key,
                digest,
                info.service,
                info.id,
                timeout_s,
            )
        except peers.PeerError as error:
            # The claim may have been committed although the reply was
            # lost. The request was not sent, so it can be released.
            self._record_outcome(info, claims.Outcome.NOT_RUN)
            return answers.refused_response(
                info.id,
                answers.RequestRefusedError(
                    503, f'the claim failed: {error}', retry_after_s=1.0
                ),
            )
        if reply.state is claims.ClaimState.GRANTED:
            return None
        return answers.claim_response(info.id, reply)

    def record_response(
        self, info: events.RequestInfo, response: web.StreamResponse
    ) -> None:
        """Record the outcome in the header of ``response``."""
        outcome_header = response.headers[header_rules.OUTCOME_HEADER]
        outcome = claims.Outcome(outcome_header)
        answer = None
        if outcome is claims.Outcome.RAN:
            answer = answers.record_response(response)
        self._record_outcome(info, outcome, answer)

    def record_unknown(self, info: events.RequestInfo) -> None:
        self._record_outcome(info, claims.Outcome.UNKNOWN)

    def _record_outcome(
        self,
        info: events.RequestInfo,
        outcome: claims.Outcome,
        answer: claims.RecordedAnswer | None = None,
    ) -> None:
        assert info.key is not None
        self._client.record_outcome(
            info.customer, info.key, info.id, outcome, answer
        )
