"""What lives for one version of a document."""

from __future__ import annotations
