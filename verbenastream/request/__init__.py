"""Request path of an entry: admission, queues, slots, retries, outcomes."""

from __future__ import annotations
