"""Lanes, fair shares, run-time estimates and admission."""

from __future__ import annotations

from verbenastream.request.queueing.estimates import Estimates
from verbenastream.request.queueing.lanes import Lane
from verbenastream.request.queueing.pool_queue import PoolQueue

__all__ = ['Estimates', 'Lane', 'PoolQueue']
