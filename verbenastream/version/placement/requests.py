"""Translates actions of the placement core and of plans to requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version.placement import actions
from verbenastream.version.placement import platform

if TYPE_CHECKING:
    from verbenastream.version import planning

_OPERATIONS_BY_KIND = {
    'reboot': platform.Operation.REBOOT,
    'checkpoint': platform.Operation.CHECKPOINT,
    'stop': platform.Operation.STOP,
}


def from_placement(action: actions.Action) -> platform.Request | None:
    """Return the request for ``action``, or None if it needs no call.

    A repeated action for a lease has the same key, so the platform executes
    it only once. A throttle to another limit is a separate request.
    """
    match action:
        case actions.Start():
            return platform.Request(
                key=f'lease/{action.lease}',
                operation=platform.Operation.LEASE,
                instance=action.instance,
                lease=action.lease,
                job=action.job,
                token=action.token,
                lease_s=action.lease_s,
                resume=action.resume,
            )
        case actions.Stop(
            lease=lease, instance=instance, checkpoint=with_checkpoint
        ):
            operation = platform.Operation.STOP
            if with_checkpoint:
                operation = platform.Operation.CHECKPOINT
            return _lease_request(operation, lease, instance)
        case actions.Fence(lease=lease, instance=instance):
            return _lease_request(platform.Operation.FENCE, lease, instance)
        case actions.Throttle(lease=lease, instance=instance, cores=cores):
            return platform.Request(
                key=f'throttle/{lease}/{cores:g}',
                operation=platform.Operation.THROTTLE,
                instance=instance,
                lease=lease,
                cores=cores,
            )
    return None


def from_plan(action: planning.Action) -> platform.Request:
    """Return the request for an action of a plan."""
    return platform.Request(
        key=f'{action.kind.value}/{action.instance}/{action.epoch}',
        operation=_OPERATIONS_BY_KIND[action.kind.value],
        instance=action.instance,
    )


def _lease_request(
    operation: platform.Operation, lease: str, instance: str
) -> platform.Request:
    return platform.Request(
        key=f'{operation.value}/{lease}',
        operation=operation,
        instance=ids.InstanceId(instance),
        lease=ids.LeaseId(lease),
    )
