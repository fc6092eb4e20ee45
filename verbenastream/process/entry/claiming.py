"""Claims keyed requests at the control leader, many in one call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.request.claims import messages

if TYPE_CHECKING:
    from verbenastream.process.entry import leader

LOG = logbook.Logger(__name__)

_CALL_TIMEOUT_S = 1.0
_MAX_BATCH = 200
_OUTCOME_RETRY_S = 0.2
# An outcome that control does not take for this long is given up; the claim
# then reads "unknown" once this entry's lease is over.
_OUTCOME_LIMIT_S = 30.0


class ClaimClient:
    """Batches claims and outcomes of this entry.

    While one call is open, new claims wait and travel together in the next.
    """

    def __init__(
        self,
        control: leader.LeaderClient,
        entry: ids.EntryId,
        incarnation: ids.Incarnation,
    ) -> None:
        self._control = control
        self._entry = entry
        self._incarnation = incarnation
        self._claims: list[
            tuple[messages.Claim, asyncio.Future[messages.ClaimReply]]
        ] = []
        self._outcomes: list[messages.ClaimOutcome] = []
        self._wakeup = asyncio.Event()
        self._first_failure_at: float | None = None

    async def claim(
        self,
        customer: ids.CustomerId,
        key: ids.IdempotencyKey,
        digest: str,
        service: ids.ServiceId,
        request: ids.RequestId,
        timeout_s: float,
    ) -> messages.ClaimReply:
        """Return control's reply to one claim.

        Raises ``peers.PeerError`` when control did not answer. The claim may
        then exist; as its request was not sent, the caller of this method
        must ``finish`` it as not run.
        """
        future = asyncio.get_running_loop().create_future()
        claim = messages.Claim(
            customer,
            key,
            digest,
            service,
            self._entry,
            self._incarnation,
            request,
        )
        self._claims.append((claim, future))
        self._wakeup.set()
        try:
            return await asyncio.wait_for(future, timeout_s)
        except asyncio.TimeoutError as error:
            raise peers.CallFailedError(
                'control did not answer the claim in time',
                'Repeat the request with the same key.',
            ) from error

    def finish(
        self,
        customer: ids.CustomerId,
        key: ids.IdempotencyKey,
        request: ids.RequestId,
        outcome: messages.Outcome,
        answer: messages.RecordedAnswer | None = None,
    ) -> None:
        """Record the outcome of a claim that this entry holds."""
        self._outcomes.append(
            messages.ClaimOutcome(
                customer,
                key,
                self._entry,
                self._incarnation,
                outcome,
                answer,
                request,
            )
        )
        self._wakeup.set()

    @property
    def idle(self) -> bool:
        return not self._claims and not self._outcomes

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while not self.idle:
                await self._send_batch()

    async def _send_batch(self) -> None:
        claims = [item for item in self._claims if not item[1].done()]
        self._claims = claims[_MAX_BATCH:]
        claims = claims[:_MAX_BATCH]
        outcomes = tuple(self._outcomes[:_MAX_BATCH])
        if not claims and not outcomes:
            return
        batch = messages.ClaimBatch(
            tuple(claim for claim, _ in claims), outcomes
        )
        try:
            reply = await self._control.call(
                '/v1/claims', batch, messages.ClaimBatchReply, _CALL_TIMEOUT_S
            )
        except peers.PeerError as error:
            self._fail_claims(claims, error)
            await self._delay_outcomes(outcomes, error)
            return
        self._first_failure_at = None
        del self._outcomes[: len(outcomes)]
        for (_, future), result in zip(claims, reply.replies):
            if not future.done():
                future.set_result(result)

    @staticmethod
    def _fail_claims(
        claims: list[
            tuple[messages.Claim, asyncio.Future[messages.ClaimReply]]
        ],
        error: peers.PeerError,
    ) -> None:
        for _, future in claims:
            if not future.done():
                future.set_exception(error)

    async def _delay_outcomes(
        self,
        outcomes: tuple[messages.ClaimOutcome, ...],
        error: peers.PeerError,
    ) -> None:
        if not outcomes:
            return
        now = asyncio.get_running_loop().time()
        if self._first_failure_at is None:
            self._first_failure_at = now
        if now - self._first_failure_at > _OUTCOME_LIMIT_S:
            LOG.error('{} outcomes not recorded: {}', len(outcomes), error)
            del self._outcomes[: len(outcomes)]
            return
        await asyncio.sleep(_OUTCOME_RETRY_S)
