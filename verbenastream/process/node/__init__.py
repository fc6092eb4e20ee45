"""A node runs a log replica, the job queue and the relay in one process."""

from __future__ import annotations

from verbenastream.process.node.config import JobLimits
from verbenastream.process.node.config import NodeSettings
from verbenastream.process.node.daemon import NodeDaemon

__all__ = ['JobLimits', 'NodeDaemon', 'NodeSettings']
