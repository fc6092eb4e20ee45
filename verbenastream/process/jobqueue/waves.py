"""Durable state of maintenance waves."""

from __future__ import annotations

import enum

import msgspec

from verbenastream.process.jobqueue import commands


class UpkeepPhase(enum.Enum):
    """How far one instance of a wave is."""

    WAITING = 'waiting'
    # The platform may have taken the instance.
    BEGUN = 'begun'
    TAKEN = 'taken'
    RETURNED = 'returned'
    # The instance no longer exists.
    GONE = 'gone'


_PHASES_BY_NAME = {phase.value: phase for phase in UpkeepPhase}


class Wave(msgspec.Struct):
    """One request for maintenance; ``at_once`` bounds what is down."""

    number: int
    at_once: int
    due_at: float
    phases_by_id: dict[str, UpkeepPhase]
    begun_at_by_id: dict[str, float] = {}

    @property
    def completed(self) -> bool:
        """Whether every instance of the wave has been taken or is gone."""
        return all(
            phase
            in (UpkeepPhase.TAKEN, UpkeepPhase.RETURNED, UpkeepPhase.GONE)
            for phase in self.phases_by_id.values()
        )

    @property
    def down(self) -> int:
        """How many instances may be down for this wave."""
        return sum(
            phase in (UpkeepPhase.BEGUN, UpkeepPhase.TAKEN)
            for phase in self.phases_by_id.values()
        )


class WaveBook(msgspec.Struct):
    """All waves by number."""

    waves_by_number: dict[int, Wave] = {}

    def request(self, command: commands.RequestWave) -> None:
        """Add a wave; a repeated request changes nothing."""
        if command.wave in self.waves_by_number:
            return
        self.waves_by_number[command.wave] = Wave(
            command.wave,
            command.at_once,
            command.at + command.deadline_s,
            {id: UpkeepPhase.WAITING for id in command.instances},
        )

    def begin(self, command: commands.BeginUpkeep) -> bool:
        """Reserve one of the places of the wave; False if none is free."""
        wave = self.waves_by_number.get(command.wave)
        if wave is None:
            return False
        phase = wave.phases_by_id.get(command.instance)
        if phase is not UpkeepPhase.WAITING or wave.down >= wave.at_once:
            return False
        wave.phases_by_id[command.instance] = UpkeepPhase.BEGUN
        wave.begun_at_by_id[command.instance] = command.at
        return True

    def note(self, command: commands.NoteUpkeep) -> None:
        """Take over what became of an instance of a wave."""
        wave = self.waves_by_number.get(command.wave)
        if wave is not None and command.instance in wave.phases_by_id:
            phase = _PHASES_BY_NAME[command.outcome]
            wave.phases_by_id[command.instance] = phase
