"""Runs every benchmark, prints a table and stores the figures as JSON."""

from __future__ import annotations

import argparse
import dataclasses
import importlib
import json
import pathlib
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench import rows

# Each module has ``run(seed) -> list[rows.Row]``.
MODULES: tuple[str, ...] = (
    'bench.agreement',
    'bench.capacity',
    'bench.claims',
    'bench.control_cost',
    'bench.documents',
    'bench.placement',
    'bench.presence',
    'bench.real_path',
    'bench.real_throughput',
    'bench.request_alternatives',
    'bench.request_bursts',
    'bench.request_failures',
    'bench.request_lanes',
    'bench.request_shared',
    'bench.state',
)

_RESULTS = pathlib.Path('build/bench')


def _print_row(row: rows.Row) -> None:
    verdict = {True: 'met', False: 'MISSED', None: ''}[row.met]
    baseline = '' if row.baseline is None else f'{row.baseline:.4g}'
    target = ''
    if row.target is not None:
        target = f'{row.bound.value} {row.target:g}'
    print(
        f'{row.name:<58} {row.value:>10.4g} {row.unit:<10}'
        f' {baseline:>10} {target:>14} {verdict}',
        flush=True,
    )


def _store(module: str, found: list[rows.Row]) -> None:
    _RESULTS.mkdir(parents=True, exist_ok=True)
    path = _RESULTS / f'{module.rsplit(".", 1)[-1]}.json'
    stored = []
    for row in found:
        values = dataclasses.asdict(row)
        values['bound'] = row.bound.value
        values['met'] = row.met
        stored.append(values)
    path.write_text(json.dumps(stored, indent=2) + '\n')


def main() -> int:
    """Exit status 0 once everything was measured, missed targets included."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('modules', nargs='*', help='for example bench.slots')
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    missed: list[rows.Row] = []
    failed: list[str] = []
    print(
        f'{"figure":<58} {"value":>10} {"unit":<10} {"baseline":>10}'
        f' {"target":>14}'
    )
    for module in arguments.modules or MODULES:
        started = time.monotonic()
        try:
            found = importlib.import_module(module).run(arguments.seed)
        except Exception as error:
            failed.append(module)
            print(f'{module} failed: {error!r}')
            continue
        for row in found:
            _print_row(row)
        missed.extend(row for row in found if row.met is False)
        _store(module, found)
        print(f'-- {module}: {time.monotonic() - started:.1f} s')
    print(f'targets missed: {len(missed)}')
    for row in missed:
        print(f'  {row.name}: {row.value:.4g}, target {row.target:g}')
    for module in failed:
        print(f'not measured: {module}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
