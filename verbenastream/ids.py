"""Types of the identifiers that the project uses."""

from __future__ import annotations

from typing import NewType

InstanceId = NewType('InstanceId', str)
DataCentreId = NewType('DataCentreId', str)
RackId = NewType('RackId', str)
RegionId = NewType('RegionId', str)
ServiceId = NewType('ServiceId', str)
# A pool is the set of instances that serve one service.
PoolId = NewType('PoolId', str)
TeamId = NewType('TeamId', str)
CustomerId = NewType('CustomerId', str)
EntryId = NewType('EntryId', str)
ReplicaId = NewType('ReplicaId', str)
RequestId = NewType('RequestId', str)
SubmissionId = NewType('SubmissionId', str)
IdempotencyKey = NewType('IdempotencyKey', str)
GrantId = NewType('GrantId', str)
JobId = NewType('JobId', str)
# A queue takes the jobs of one route and sends them to one pool.
QueueId = NewType('QueueId', str)
# A worker process on an instance; it may keep its id after a restart.
WorkerId = NewType('WorkerId', str)
LeaseId = NewType('LeaseId', str)

Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
# Number of an accepted version of a service's document, from 1.
Revision = NewType('Revision', int)
# Increases with each committed change of an instance or of the entry set.
Epoch = NewType('Epoch', int)
# Increases with each start of a process that keeps its id.
Incarnation = NewType('Incarnation', int)
