"""Runs the daemon as ``python -m verbenastream.process.control``."""

from __future__ import annotations

from verbenastream.process import control

if __name__ == '__main__':
    control.main()
