"""Claims around the requests that carry an idempotency key."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from aiohttp import web

from verbenastream.connection import peers
from verbenastream.connection.proxying import headers as header_rules
from verbenastream.process.entry import answers
from verbenastream.request import claims

if TYPE_CHECKING:
    from verbenastream.process.entry import claiming
    from verbenastream.request import events

_CLAIM_TIMEOUT_S = 3.0


class Claimant:
    """Claims a keyed request before it is sent and records its outcome."""

    def __init__(self, client: claiming.ClaimClient) -> None:
        self._client = client

    async def claim(
        self, info: events.RequestInfo, digest: str
    ) -> web.Response | None:
        """Return None if the request may be sent, else the answer."""
        assert info.key is not None
        timeout_s = min(_CLAIM_TIMEOUT_S, info.deadline - time.monotonic())
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
            # The claim may have been committed although the answer was
            # lost; nothing was sent, so it can be released.
            self._finish(info, claims.Outcome.NOT_RUN)
            return answers.refused(
                info.id,
                answers.Refusal(
                    503, f'the claim failed: {error}', retry_after_s=1.0
                ),
            )
        if reply.state is claims.ClaimState.GRANTED:
            return None
        return answers.claimed_elsewhere(info.id, reply)

    def finish(
        self, info: events.RequestInfo, response: web.StreamResponse
    ) -> None:
        """Record the outcome that ``response`` states."""
        stated = response.headers[header_rules.OUTCOME_HEADER]
        outcome = claims.Outcome(stated)
        answer = None
        if outcome is claims.Outcome.RAN:
            answer = answers.record(response)
        self._finish(info, outcome, answer)

    def finish_unknown(self, info: events.RequestInfo) -> None:
        self._finish(info, claims.Outcome.UNKNOWN)

    def _finish(
        self,
        info: events.RequestInfo,
        outcome: claims.Outcome,
        answer: claims.RecordedAnswer | None = None,
    ) -> None:
        assert info.key is not None
        self._client.finish(info.customer, info.key, info.id, outcome, answer)
