"""Platform calls in memory, some of them lost or duplicated."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from verbenastream import ids
from verbenastream.version.placement import jobs
from verbenastream.version.placement import platform

_O = platform.Operation


@dataclasses.dataclass(slots=True)
class _Instance:
    draining: bool = False
    reboots: int = 0
    running: dict[ids.LeaseId, platform.Request] = dataclasses.field(
        default_factory=dict
    )
    cores: dict[ids.LeaseId, float] = dataclasses.field(default_factory=dict)


class FakePlatformCalls:
    """Implements ``Platform`` in memory.

    Each key takes effect once. ``loss_probability`` is that of a lost request
    or answer, which raises ``TimeoutError`` in the caller;
    ``duplication_probability`` that of a request that arrives twice.
    """

    def __init__(
        self,
        rng: random.Random,
        loss_probability: float = 0.1,
        duplication_probability: float = 0.1,
    ) -> None:
        self.effects: list[platform.Request] = []
        self._rng = rng
        self._loss_probability = loss_probability
        self._duplication_probability = duplication_probability
        self._instances: dict[ids.InstanceId, _Instance] = {}
        self._answers_by_key: dict[str, platform.Answer] = {}
        self._fenced: dict[ids.JobId, int] = {}
        self._ended: set[ids.LeaseId] = set()

    async def call(self, request: platform.Request) -> platform.Answer:
        """Execute ``request``; raises ``TimeoutError`` if it is lost."""
        await asyncio.sleep(0)
        if self._rng.random() < self._loss_probability / 2:
            raise TimeoutError('the request was lost')
        answer = self._deduplicate(request)
        if self._rng.random() < self._duplication_probability:
            answer = self._deduplicate(request)
        if self._rng.random() < self._loss_probability / 2:
            raise TimeoutError('the answer was lost')
        return answer

    def running(self, instance: ids.InstanceId) -> set[ids.LeaseId]:
        return set(self._instance(instance).running)

    def reboots(self, instance: ids.InstanceId) -> int:
        return self._instance(instance).reboots

    def _instance(self, instance: ids.InstanceId) -> _Instance:
        return self._instances.setdefault(instance, _Instance())

    def _deduplicate(self, request: platform.Request) -> platform.Answer:
        # Usage is a measurement, so each call returns the current one.
        answer = self._answers_by_key.get(request.key)
        if answer is not None and request.operation is not _O.USAGE:
            return answer
        answer = self._execute(request)
        self._answers_by_key[request.key] = answer
        self.effects.append(request)
        return answer

    def _execute(self, request: platform.Request) -> platform.Answer:
        instance = self._instance(request.instance)
        match request.operation:
            case _O.DRAIN:
                instance.draining = True
            case _O.REBOOT:
                instance.draining = False
                instance.reboots += 1
                self._ended.update(instance.running)
                instance.running.clear()
            case _O.LEASE:
                return self._lease(instance, request)
            case _O.THROTTLE:
                if request.lease is not None and request.cores is not None:
                    instance.cores[request.lease] = request.cores
            case _O.CHECKPOINT | _O.STOP | _O.FENCE:
                self._stop(instance, request)
            case _O.USAGE:
                return platform.Answer(
                    request.key, True, usage_by_lease=self._usage(instance)
                )
        return platform.Answer(request.key, True)

    def _lease(
        self, instance: _Instance, request: platform.Request
    ) -> platform.Answer:
        if request.lease is None or request.job is None:
            return platform.Answer(request.key, False, 'no lease or job')
        if instance.draining:
            return platform.Answer(request.key, False, 'draining')
        if request.lease in self._ended or request.token <= self._fenced.get(
            request.job.id, 0
        ):
            return platform.Answer(request.key, False, 'fenced')
        instance.running[request.lease] = request
        return platform.Answer(request.key, True)

    def _stop(self, instance: _Instance, request: platform.Request) -> None:
        """End a lease, or all leases of the instance if none is given."""
        leases = [request.lease] if request.lease else list(instance.running)
        for lease in leases:
            self._ended.add(lease)
            stopped = instance.running.pop(lease, None)
            if stopped is not None and stopped.job is not None:
                self._fenced[stopped.job.id] = stopped.token

    def _usage(self, instance: _Instance) -> dict[ids.LeaseId, jobs.Usage]:
        usage_by_lease = {}
        for lease, request in instance.running.items():
            assert request.job is not None
            need = request.job.need
            cores = instance.cores.get(lease, need.cores)
            usage_by_lease[lease] = jobs.Usage(
                min(cores, need.cores), need.memory_gb
            )
        return usage_by_lease
