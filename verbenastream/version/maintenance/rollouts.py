"""Staged roll-outs with a health check after each stage."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids

if TYPE_CHECKING:
    from collections.abc import Sequence

# With fewer requests a failure rate of 1% cannot be distinguished from chance.
MIN_REQUESTS = 200
# A stage passes while its failure rate is at most that of the rest of the
# fleet times the ratio plus the excess. The excess prevents a single failure
# at low load from halting a roll-out.
MAX_FAILURE_RATIO = 1.5
MAX_FAILURE_EXCESS = 0.005


class RolloutKind(enum.Enum):
    DOCUMENT = 'document'
    SOFTWARE = 'software'


class RolloutStatus(enum.Enum):
    RUNNING = 'running'
    DONE = 'done'
    HALTED = 'halted'


class Rollout(msgspec.Struct, frozen=True):
    """Definition of a roll-out.

    ``content`` and ``previous`` name the new and the old version. ``stages``
    are increasing shares of the instances, the last of which is 1.0.
    ``soak_s`` is the time that a stage runs before its health is checked.
    """

    id: str
    kind: RolloutKind
    instances: tuple[ids.InstanceId, ...]
    content: str
    previous: str
    stages: tuple[float, ...] = (0.05, 0.25, 1.0)
    soak_s: float = 600.0


class Applied(msgspec.Struct, frozen=True):
    """Reports that an instance runs the new content."""

    instance: ids.InstanceId


class Health(msgspec.Struct, frozen=True):
    """Requests and failures since the whole stage runs the new content.

    ``rest_requests`` and ``rest_failures`` are those of the other instances.
    """

    requests: int
    failures: int
    rest_requests: int
    rest_failures: int


class Tick(msgspec.Struct, frozen=True):
    """Reports that time has passed."""


Event = Applied | Health | Tick


class Apply(msgspec.Struct, frozen=True):
    """Deploy ``content`` to ``instances``."""

    instances: tuple[ids.InstanceId, ...]
    content: str


class Revert(msgspec.Struct, frozen=True):
    """Submit a new revision with the previous content.

    Revision numbers never decrease, so the old content is restored by a new
    revision.
    """

    instances: tuple[ids.InstanceId, ...]
    content: str
    reason: str


class Finished(msgspec.Struct, frozen=True):
    """Reports that every instance runs the new content."""


Action = Apply | Revert | Finished


@dataclasses.dataclass(slots=True)
class _Stage:
    """Stage in progress; ``end`` counts the instances up to its last one."""

    end: int = 0
    applied_at: float | None = None
    pending: set[ids.InstanceId] = dataclasses.field(default_factory=set)


class RolloutCore:
    """State machine that takes one roll-out through its stages.

    The health of a stage is checked when all of its instances run the new
    content, the soak time has passed and enough requests were counted.
    """

    def __init__(self, rollout: Rollout) -> None:
        self.status = RolloutStatus.RUNNING
        self.checks = 0
        self._rollout = rollout
        self._stage_index = -1
        self._stage = _Stage()

    def start(self) -> list[Action]:
        return self._next_stage()

    def handle(self, event: Event, now: float) -> list[Action]:
        if self.status is not RolloutStatus.RUNNING:
            return []
        match event:
            case Applied(instance=instance):
                self._stage.pending.discard(instance)
                if not self._stage.pending and self._stage.applied_at is None:
                    self._stage.applied_at = now
            case Health():
                if self._is_soaked(now):
                    return self._check_health(event)
        return []

    @property
    def updated_instances(self) -> Sequence[ids.InstanceId]:
        """Instances that run or receive the new content."""
        return self._rollout.instances[: self._stage.end]

    def _is_soaked(self, now: float) -> bool:
        applied_at = self._stage.applied_at
        return applied_at is not None and (
            now >= applied_at + self._rollout.soak_s
        )

    def _check_health(self, health: Health) -> list[Action]:
        if health.requests < MIN_REQUESTS:
            return []
        self.checks += 1
        stage_failure_rate = health.failures / health.requests
        other_failure_rate = health.rest_failures / max(
            1, health.rest_requests
        )
        if (
            stage_failure_rate
            > other_failure_rate * MAX_FAILURE_RATIO + MAX_FAILURE_EXCESS
        ):
            self.status = RolloutStatus.HALTED
            return [
                Revert(
                    tuple(self.updated_instances),
                    self._rollout.previous,
                    f'{stage_failure_rate:.2%} of the requests failed in the '
                    f'stage, {other_failure_rate:.2%} in the rest of the '
                    'fleet',
                )
            ]
        return self._next_stage()

    def _next_stage(self) -> list[Action]:
        self._stage_index += 1
        if self._stage_index >= len(self._rollout.stages):
            self.status = RolloutStatus.DONE
            return [Finished()]
        share = self._rollout.stages[self._stage_index]
        first = self._stage.end
        end = math.ceil(share * len(self._rollout.instances) - 1e-9)
        instances = self._rollout.instances[first:end]
        self._stage = _Stage(end, None, set(instances))
        return [Apply(tuple(instances), self._rollout.content)]
