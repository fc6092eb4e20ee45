"""What an owner of slots knows of one entry."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.request.slots import ledger
from verbenastream.request.slots import messages


@dataclasses.dataclass(slots=True)
class EntryAccount:
    """State of one entry that reports to an owner.

    ``received_sequence`` is the last message of the owner that the entry has
    acknowledged, ``sent_sequence`` the last one sent to it.
    """

    entry: ids.EntryId
    term: int
    epoch: ids.Epoch = ids.Epoch(0)
    report_sequence: int = 0
    received_sequence: int = 0
    sent_sequence: int = 0
    last_use_serial: int = 0
    reported_at: float = 0.0
    written_off: bool = False
    knows_owner: bool = False
    data_centre: str = ''
    grants_by_number: dict[int, ledger.Grant] = dataclasses.field(
        default_factory=dict
    )
    prior_owner_uses_by_instance: dict[ids.InstanceId, int] = (
        dataclasses.field(default_factory=dict)
    )
    new_grants: list[messages.NewGrant] = dataclasses.field(
        default_factory=list
    )
    answer_due: bool = False

    def build_answer(
        self,
        epoch: ids.Epoch,
        owner_term: int,
        pool_states: tuple[messages.PoolState, ...],
    ) -> messages.Grants:
        """Return the next message to the entry, with all new grants."""
        self.sent_sequence += 1
        self.answer_due = False
        new_grants = tuple(self.new_grants)
        self.new_grants = []
        return messages.Grants(
            epoch=epoch,
            owner_term=owner_term,
            sequence=self.sent_sequence,
            report_sequence=self.report_sequence,
            entry_term=self.term,
            new_grants=new_grants,
            revoked_numbers=tuple(
                grant.number
                for grant in self.grants_by_number.values()
                if grant.revoked
            ),
            pool_states=pool_states,
        )
