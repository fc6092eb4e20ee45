"""Plays many seeded schedules and prints those that broke a rule."""

from __future__ import annotations

import cyclopts
import logbook

from verbenastream_testing.jobqueue import schedule


def main(*, first: int = 0, last: int = 99) -> int:
    """Play the schedules with seeds ``first`` to ``last``.

    Parameters
    ----------
    first
        First seed.
    last
        Last seed.
    """
    logbook.NullHandler().push_application()
    bad = 0
    for seed in range(first, last + 1):
        result = schedule.play(seed)
        if result.broken or result.unfinished:
            bad += 1
            print(f'seed {seed}: {result.broken[:3]} {result.unfinished[:3]}')
    print(f'{last - first + 1} schedules, {bad} with broken rules')
    return 1 if bad else 0


if __name__ == '__main__':
    cyclopts.run(main)
