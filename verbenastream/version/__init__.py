"""Components whose state depends on one version of a service document."""

from __future__ import annotations
