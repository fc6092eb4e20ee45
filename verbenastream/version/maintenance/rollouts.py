"""Roll-outs by stages with a health check between."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids

if TYPE_CHECKING:
    from collections.abc import Sequence

# Fewer requests cannot tell a failure share of 1% from chance.
MIN_REQUESTS = 200
# The stage may fail this much more often than the rest of the fleet. The
# absolute part keeps one failure in a quiet hour from halting a roll-out.
MAX_RATIO = 1.5
MAX_EXCESS = 0.005


class RolloutKind(enum.Enum):
    DOCUMENT = 'document'
    SOFTWARE = 'software'


class RolloutStatus(enum.Enum):
    RUNNING = 'running'
    DONE = 'done'
    HALTED = 'halted'


class Rollout(msgspec.Struct, frozen=True):
    """What is rolled out to which instances.

    ``content`` and ``previous`` name the new and the old version; ``stages``
    are rising shares of the instances that end with 1.0.
    """

    id: str
    kind: RolloutKind
    instances: tuple[ids.InstanceId, ...]
    content: str
    previous: str
    stages: tuple[float, ...] = (0.05, 0.25, 1.0)
    soak_s: float = 600.0


class Applied(msgspec.Struct, frozen=True):
    """An instance runs the new content."""

    instance: ids.InstanceId


class Health(msgspec.Struct, frozen=True):
    """Requests and failures since the stage was applied everywhere."""

    requests: int
    failures: int
    rest_requests: int
    rest_failures: int


class Tick(msgspec.Struct, frozen=True):
    """Time passed."""


Event = Applied | Health | Tick


class Apply(msgspec.Struct, frozen=True):
    """Bring ``content`` to ``instances``."""

    instances: tuple[ids.InstanceId, ...]
    content: str


class Revert(msgspec.Struct, frozen=True):
    """Submit a new revision with the previous content.

    A revision that was accepted never goes back, so the old content comes
    as the next revision.
    """

    instances: tuple[ids.InstanceId, ...]
    content: str
    reason: str


class Finished(msgspec.Struct, frozen=True):
    """Every instance runs the new content."""


Action = Apply | Revert | Finished


@dataclasses.dataclass(slots=True)
class _Stage:
    last: int = 0
    applied_at: float | None = None
    pending: set[ids.InstanceId] = dataclasses.field(default_factory=set)


class RolloutCore:
    """Takes one roll-out through its stages.

    A stage is judged when each of its instances runs the new content, the
    soak time has passed and there are enough requests.
    """

    def __init__(self, rollout: Rollout) -> None:
        self.status = RolloutStatus.RUNNING
        self.checks = 0
        self._rollout = rollout
        self._position = -1
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
                    return self._judge(event)
        return []

    @property
    def reached(self) -> Sequence[ids.InstanceId]:
        """Instances that have or get the new content."""
        return self._rollout.instances[: self._stage.last]

    def _is_soaked(self, now: float) -> bool:
        applied_at = self._stage.applied_at
        return applied_at is not None and (
            now >= applied_at + self._rollout.soak_s
        )

    def _judge(self, health: Health) -> list[Action]:
        if health.requests < MIN_REQUESTS:
            return []
        self.checks += 1
        share = health.failures / health.requests
        rest = health.rest_failures / max(1, health.rest_requests)
        if share > rest * MAX_RATIO + MAX_EXCESS:
            self.status = RolloutStatus.HALTED
            return [
                Revert(
                    tuple(self.reached),
                    self._rollout.previous,
                    f'{share:.2%} of the requests failed in the stage, '
                    f'{rest:.2%} in the rest of the fleet',
                )
            ]
        return self._next_stage()

    def _next_stage(self) -> list[Action]:
        self._position += 1
        if self._position >= len(self._rollout.stages):
            self.status = RolloutStatus.DONE
            return [Finished()]
        share = self._rollout.stages[self._position]
        first = self._stage.last
        last = math.ceil(share * len(self._rollout.instances) - 1e-9)
        instances = self._rollout.instances[first:last]
        self._stage = _Stage(last, None, set(instances))
        return [Apply(tuple(instances), self._rollout.content)]
