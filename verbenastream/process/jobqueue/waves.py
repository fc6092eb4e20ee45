"""Durable state of maintenance waves.

A wave is a request to take a set of instances down for maintenance.
"""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids
from verbenastream.process.jobqueue import commands


class MaintenancePhase(enum.Enum):
    """Progress of the maintenance of one instance.

    Each phase is left on evidence only: on an answer that tells what happened,
    or on a list that was requested when no earlier call could be executed any
    more. An instance keeps its place in the wave while it is ``BEGUN`` or
    ``TAKEN``.
    """

    # Not asked for, or shown not to be under way. An earlier call may have
    # been executed; calls are idempotent.
    WAITING = 'waiting'
    # The platform may have been asked to take the instance down, which may be
    # under way.
    BEGUN = 'begun'
    # A call was answered as done, now or before.
    TAKEN = 'taken'
    # The instance is up again.
    RETURNED = 'returned'
    # The instance no longer exists.
    GONE = 'gone'


_PHASES_BY_NAME = {phase.value: phase for phase in MaintenancePhase}


class Wave(msgspec.Struct):
    """A maintenance request; at most ``at_once`` instances may be down."""

    number: int
    at_once: int
    due_at: float
    phases_by_id: dict[str, MaintenancePhase]
    begun_at_by_id: dict[str, float] = {}

    @property
    def completed(self) -> bool:
        """Whether every instance has been taken down or no longer exists."""
        return all(
            phase
            in (
                MaintenancePhase.TAKEN,
                MaintenancePhase.RETURNED,
                MaintenancePhase.GONE,
            )
            for phase in self.phases_by_id.values()
        )

    @property
    def down_count(self) -> int:
        """Number of instances that are down for this wave or may be."""
        return sum(
            phase in (MaintenancePhase.BEGUN, MaintenancePhase.TAKEN)
            for phase in self.phases_by_id.values()
        )


class MaintenanceWaves(msgspec.Struct):
    """All maintenance waves by number."""

    waves_by_number: dict[int, Wave] = {}

    def add(self, command: commands.RequestWave) -> None:
        """Add a wave; repeating a request has no effect."""
        if command.wave in self.waves_by_number:
            return
        self.waves_by_number[command.wave] = Wave(
            command.wave,
            command.at_once,
            command.at + command.deadline_s,
            {id: MaintenancePhase.WAITING for id in command.instances},
        )

    def begun_instances(self) -> set[ids.InstanceId]:
        """Return the instances that a call may be taking down now."""
        return {
            ids.InstanceId(name)
            for wave in self.waves_by_number.values()
            for name, phase in wave.phases_by_id.items()
            if phase is MaintenancePhase.BEGUN
        }

    def down_instances(self) -> set[ids.InstanceId]:
        """Return the instances that are down for a wave, or may be."""
        return {
            ids.InstanceId(name)
            for wave in self.waves_by_number.values()
            for name, phase in wave.phases_by_id.items()
            if phase in (MaintenancePhase.BEGUN, MaintenancePhase.TAKEN)
        }

    def begin_maintenance(self, command: commands.BeginMaintenance) -> bool:
        """Reserve a slot for an instance; return False if none is free.

        A wave has ``at_once`` slots, one for each instance that is down.
        """
        wave = self.waves_by_number.get(command.wave)
        if wave is None:
            return False
        phase = wave.phases_by_id.get(command.instance)
        if (
            phase is not MaintenancePhase.WAITING
            or wave.down_count >= wave.at_once
        ):
            return False
        wave.phases_by_id[command.instance] = MaintenancePhase.BEGUN
        wave.begun_at_by_id[command.instance] = command.at
        return True

    def record_phase(self, command: commands.RecordMaintenancePhase) -> None:
        """Set the phase of an instance; unknown ones are ignored."""
        wave = self.waves_by_number.get(command.wave)
        if wave is not None and command.instance in wave.phases_by_id:
            phase = _PHASES_BY_NAME[command.outcome]
            wave.phases_by_id[command.instance] = phase
