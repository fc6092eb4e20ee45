"""Runs the client as ``python -m verbenastream.process.client``."""

from __future__ import annotations

from verbenastream.process import client

if __name__ == '__main__':
    client.main()
