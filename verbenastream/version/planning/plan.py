"""Output of the planner: transitions, actions and explanations."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import errors
from verbenastream import ids
from verbenastream.version import fleet


class Reason(enum.Enum):
    """Reason for the state transition of an instance."""

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
    """Proposed state transition of one instance.

    It is valid only while the instance is at ``expected_epoch``.
    """

    instance: ids.InstanceId
    expected_epoch: ids.Epoch
    state: fleet.InstanceState
    pool: ids.PoolId | None
    reason: Reason
    at: float


class ActionKind(enum.Enum):
    """Operation that the platform is asked to perform on an instance."""

    REBOOT = 'reboot'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


class Action(msgspec.Struct, frozen=True):
    """Request to the platform.

    Each plan repeats it while its cause persists. The platform executes it
    only once, because (kind, instance, epoch) identifies it. It becomes
    invalid as soon as the instance has another epoch.
    """

    kind: ActionKind
    instance: ids.InstanceId
    epoch: ids.Epoch


class Explanation(msgspec.Struct, frozen=True):
    """Explanation of the size of one pool, for operators.

    ``need`` is the committed number of instances, ``target`` the number that
    includes headroom and ``serving`` the number after the plan. ``notes`` are
    sentences on decisions, ``refused`` on changes that were not possible.
    """

    need: int
    target: int
    serving: int
    notes: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()


class Plan(msgspec.Struct, frozen=True):
    """Transitions to propose, in this order, and their explanations.

    ``reserve`` is the number of idle instances kept as the shared reserve,
    ``reserve_wanted`` the number that the worst single loss calls for, and
    ``free`` the number of the other idle instances. ``suspended`` is the
    reason why the plan contains no transitions, or None. ``reports`` are
    messages for operators about instances that need their attention.
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
    """The instance changed after the transition was planned."""

    def __init__(self, transition: Transition, epoch: ids.Epoch) -> None:
        super().__init__(
            f'instance {transition.instance} is at epoch {epoch}, the '
            f'transition expects {transition.expected_epoch}',
            'Plan again from the current state.',
        )


class InvalidTransitionError(errors.VerbenastreamError):
    """The lifecycle does not allow the transition."""

    def __init__(
        self, transition: Transition, state: fleet.InstanceState
    ) -> None:
        super().__init__(
            f'instance {transition.instance} cannot go from {state.value} '
            f'to {transition.state.value}',
            'Plan again from the current state.',
        )


_State = fleet.InstanceState
_LOST_ONLY = frozenset({_State.LOST})
_NEXT_STATES: dict[fleet.InstanceState, frozenset[fleet.InstanceState]] = {
    _State.ANNOUNCED: _LOST_ONLY | {_State.IDLE},
    _State.IDLE: _LOST_ONLY | {_State.SERVING, _State.IN_MAINTENANCE},
    _State.SERVING: _LOST_ONLY | {_State.DRAINING},
    _State.DRAINING: _LOST_ONLY | {_State.IDLE, _State.IN_MAINTENANCE},
    _State.IN_MAINTENANCE: _LOST_ONLY | {_State.RETURNING},
    _State.RETURNING: _LOST_ONLY | {_State.IDLE},
    _State.LOST: frozenset({_State.RETURNING}),
}
_POOL_STATES = frozenset({_State.SERVING, _State.DRAINING})


def apply_transition(
    record: fleet.InstanceRecord, transition: Transition
) -> fleet.InstanceRecord:
    """Return ``record`` after ``transition``.

    Raises ``StaleTransitionError`` if the epoch differs and
    ``InvalidTransitionError`` if the lifecycle does not allow the transition,
    for example from one pool to another without a drain.
    """
    if record.epoch != transition.expected_epoch:
        raise StaleTransitionError(transition, record.epoch)
    allowed = transition.state in _NEXT_STATES[record.state]
    requires_pool = transition.state in _POOL_STATES
    if transition.state is _State.DRAINING and transition.pool != record.pool:
        allowed = False
    if not allowed or requires_pool != (transition.pool is not None):
        raise InvalidTransitionError(transition, record.state)
    maintained_at = record.maintained_at
    if record.state is _State.ANNOUNCED and not maintained_at:
        # A new instance becomes due after a whole period, not immediately.
        maintained_at = transition.at
    if (
        record.state is _State.IN_MAINTENANCE
        and transition.state is _State.RETURNING
    ):
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
    """Return the pool that the instance leaves or served last.

    It is cleared for an idle instance that enters maintenance, so that this
    instance does not count as missing in its former pool.
    """
    if (
        record.state is _State.IDLE
        and transition.state is _State.IN_MAINTENANCE
    ):
        return None
    return record.pool or record.last_pool
