"""Claims keyed requests at the control leader in batches."""

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
_MAX_BATCH_SIZE = 200
_OUTCOME_RETRY_INTERVAL_S = 0.2
# Outcomes that control has not accepted for this long are dropped; the state
# of their claims is then "unknown" once this entry's lease has expired.
_OUTCOME_TIMEOUT_S = 30.0


class ClaimClient:
    """Sends the claims and outcomes of this entry in batches.

    Claims that are made while a call is open are sent together in the next.
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
        self._pending_claims: list[
            tuple[messages.Claim, asyncio.Future[messages.ClaimReply]]
        ] = []
        self._pending_outcomes: list[messages.ClaimOutcome] = []
        self._work_available = asyncio.Event()
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
        must record its outcome as not run.
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
        self._pending_claims.append((claim, future))
        self._work_available.set()
        try:
            return await asyncio.wait_for(future, timeout_s)
        except asyncio.TimeoutError as error:
            raise peers.CallFailedError(
                'control did not answer the claim in time',
                'Repeat the request with the same key.',
            ) from error

    def record_outcome(
        self,
        customer: ids.CustomerId,
        key: ids.IdempotencyKey,
        request: ids.RequestId,
        outcome: messages.Outcome,
        answer: messages.RecordedAnswer | None = None,
    ) -> None:
        """Record the outcome of a claim that this entry holds."""
        self._pending_outcomes.append(
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
        self._work_available.set()

    @property
    def idle(self) -> bool:
        return not self._pending_claims and not self._pending_outcomes

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._work_available.wait()
            self._work_available.clear()
            while not self.idle:
                await self._send_batch()

    async def _send_batch(self) -> None:
        claims = [
            pending
            for pending in self._pending_claims
            if not pending[1].done()
        ]
        self._pending_claims = claims[_MAX_BATCH_SIZE:]
        claims = claims[:_MAX_BATCH_SIZE]
        outcomes = tuple(self._pending_outcomes[:_MAX_BATCH_SIZE])
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
            await self._handle_outcome_failure(outcomes, error)
            return
        self._first_failure_at = None
        del self._pending_outcomes[: len(outcomes)]
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

    async def _handle_outcome_failure(
        self,
        outcomes: tuple[messages.ClaimOutcome, ...],
        error: peers.PeerError,
    ) -> None:
        if not outcomes:
            return
        now = asyncio.get_running_loop().time()
        if self._first_failure_at is None:
            self._first_failure_at = now
        if now - self._first_failure_at > _OUTCOME_TIMEOUT_S:
            LOG.error('{} outcomes not recorded: {}', len(outcomes), error)
            del self._pending_outcomes[: len(outcomes)]
            return
        await asyncio.sleep(_OUTCOME_RETRY_INTERVAL_S)
