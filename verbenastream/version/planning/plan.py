"""Output of the planner: transitions and their explanations."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import errors
from verbenastream import ids
from verbenastream.version import fleet


class Reason(enum.Enum):
    """Why an instance changes state."""

    ANNOUNCED = 'announced'
    COMMITMENT = 'commitment'
    HEADROOM = 'headroom'
    LASTING_DEMAND = 'lasting demand'
    SURPLUS = 'surplus'
    SPREAD = 'spread over racks'
    RELEASED = 'drained'
    SERVICE_REMOVED = 'service removed'
    LOST = 'lost'
    RETURNED = 'returned'
    MAINTENANCE = 'maintenance'
    NOTICE = 'platform notice'
    NOT_RETURNED = 'did not return'


class Transition(msgspec.Struct, frozen=True):
    """A proposed change of one instance.

    It applies only while the instance has ``expected_epoch``.
    """

    instance: ids.InstanceId
    expected_epoch: ids.Epoch
    state: fleet.InstanceState
    pool: ids.PoolId | None
    reason: Reason
    at: float


class ActionKind(enum.Enum):
    """What the platform is asked to do with an instance."""

    REBOOT = 'reboot'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


class Action(msgspec.Struct, frozen=True):
    """A call to the platform.

    It is repeated in each plan while its cause lasts; (kind, instance,
    epoch) identifies it, so that the platform runs it once. It is void as
    soon as the instance has another epoch.
    """

    kind: ActionKind
    instance: ids.InstanceId
    epoch: ids.Epoch


class Explanation(msgspec.Struct, frozen=True):
    """Why one pool has what it has.

    ``need`` is the commitment, ``target`` what the planner aims at,
    ``serving`` the present count. ``notes`` are sentences on what was
    decided and ``refused`` on what was wanted and not done.
    """

    need: int
    target: int
    serving: int
    notes: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()


class Plan(msgspec.Struct, frozen=True):
    """Transitions to propose, in this order, and why.

    ``reserve`` is the number of idle instances kept as the shared buffer
    and ``reserve_wanted`` the number that the worst single loss asks for;
    ``free`` are the other idle instances. ``suspended`` is the reason why
    nothing is moved, or None. ``reports`` tell the operators of instances
    that need their attention.
    """

    transitions: tuple[Transition, ...]
    explanations_by_pool: dict[ids.PoolId, Explanation]
    suspended: str | None = None
    reserve: int = 0
    reserve_wanted: int = 0
    free: int = 0
    actions: tuple[Action, ...] = ()
    reports: tuple[str, ...] = ()


class StaleTransitionError(errors.VerbenastreamError):
    """The instance changed after the plan was made."""

    def __init__(self, transition: Transition, epoch: ids.Epoch) -> None:
        super().__init__(
            f'instance {transition.instance} is at epoch {epoch}, the '
            f'transition expects {transition.expected_epoch}',
            'Plan again from the current state.',
        )


class InvalidTransitionError(errors.VerbenastreamError):
    """The lifecycle has no such step."""

    def __init__(
        self, transition: Transition, state: fleet.InstanceState
    ) -> None:
        super().__init__(
            f'instance {transition.instance} cannot go from {state.value} '
            f'to {transition.state.value}',
            'Plan again from the current state.',
        )


_S = fleet.InstanceState
_DOWN = frozenset({_S.LOST})
_NEXT_STATES: dict[fleet.InstanceState, frozenset[fleet.InstanceState]] = {
    _S.ANNOUNCED: _DOWN | {_S.IDLE},
    _S.IDLE: _DOWN | {_S.SERVING, _S.IN_MAINTENANCE},
    _S.SERVING: _DOWN | {_S.DRAINING},
    _S.DRAINING: _DOWN | {_S.IDLE, _S.IN_MAINTENANCE},
    _S.IN_MAINTENANCE: _DOWN | {_S.RETURNING},
    _S.RETURNING: _DOWN | {_S.IDLE},
    _S.LOST: frozenset({_S.RETURNING}),
}
_IN_POOL = frozenset({_S.SERVING, _S.DRAINING})


def apply_transition(
    record: fleet.InstanceRecord, transition: Transition
) -> fleet.InstanceRecord:
    """Return ``record`` after ``transition``.

    Raises ``StaleTransitionError`` for another epoch and
    ``InvalidTransitionError`` for a step that the lifecycle does not have,
    for example from one pool to another without a drain.
    """
    if record.epoch != transition.expected_epoch:
        raise StaleTransitionError(transition, record.epoch)
    allowed = transition.state in _NEXT_STATES[record.state]
    in_pool = transition.state in _IN_POOL
    if transition.state is _S.DRAINING and transition.pool != record.pool:
        allowed = False
    if not allowed or in_pool != (transition.pool is not None):
        raise InvalidTransitionError(transition, record.state)
    maintained_at = record.maintained_at
    if record.state is _S.ANNOUNCED and not maintained_at:
        # A new instance is due after a period, not at once.
        maintained_at = transition.at
    if record.state is _S.IN_MAINTENANCE and transition.state is _S.RETURNING:
        maintained_at = transition.at
    return msgspec.structs.replace(
        record,
        state=transition.state,
        pool=transition.pool,
        epoch=ids.Epoch(record.epoch + 1),
        maintained_at=maintained_at,
        since=transition.at,
        reason=transition.reason.value,
        last_pool=_last_pool(record, transition),
    )


def _last_pool(
    record: fleet.InstanceRecord, transition: Transition
) -> ids.PoolId | None:
    """Return the pool that ``record`` leaves or left.

    An idle instance that goes into maintenance leaves no pool: it does not
    count as one that its former pool lacks.
    """
    if record.state is _S.IDLE and transition.state is _S.IN_MAINTENANCE:
        return None
    return record.pool or record.last_pool
