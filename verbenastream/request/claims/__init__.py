"""Messages for the at-most-once execution of keyed requests."""

from __future__ import annotations

from verbenastream.request.claims.messages import Claim
from verbenastream.request.claims.messages import ClaimBatch
from verbenastream.request.claims.messages import ClaimBatchReply
from verbenastream.request.claims.messages import ClaimOutcome
from verbenastream.request.claims.messages import ClaimReply
from verbenastream.request.claims.messages import ClaimState
from verbenastream.request.claims.messages import Outcome
from verbenastream.request.claims.messages import RecordedAnswer

__all__ = [
    'Claim',
    'ClaimBatch',
    'ClaimBatchReply',
    'ClaimOutcome',
    'ClaimReply',
    'ClaimState',
    'Outcome',
    'RecordedAnswer',
]
