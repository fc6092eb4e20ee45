"""Stand-ins, fault proxy, load tool and demo."""

from __future__ import annotations
