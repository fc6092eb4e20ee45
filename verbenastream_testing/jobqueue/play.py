"""Runs many seeded schedules and prints those that violated a rule."""

from __future__ import annotations

import cyclopts
import logbook

from verbenastream_testing.jobqueue import schedule


def main(
    *,
    first: int = 0,
    last: int = 99,
    workload: schedule.Workload = schedule.Workload.PLAIN,
) -> int:
    """Run the schedules with seeds ``first`` to ``last``.

    Parameters
    ----------
    first
        First seed.
    last
        Last seed.
    workload
        Kinds of jobs that are submitted.
    """
    logbook.NullHandler().push_application()
    failed = 0
    for seed in range(first, last + 1):
        result = schedule.play(seed, workload=workload)
        if result.violations or result.unfinished:
            failed += 1
            print(
                f'seed {seed}: {result.violations[:3]} {result.unfinished[:3]}'
            )
    print(f'{last - first + 1} schedules, {failed} with broken rules')
    return 1 if failed else 0


if __name__ == '__main__':
    cyclopts.run(main)
