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

# Each module provides ``run(seed) -> list[rows.Row]``.
MODULES: tuple[str, ...] = (
    'bench.agreement',
    'bench.assignment',
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

_RESULTS_FOLDER = pathlib.Path('build/bench')


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


def _write_json(module: str, module_rows: list[rows.Row]) -> None:
    _RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    path = _RESULTS_FOLDER / f'{module.rsplit(".", 1)[-1]}.json'
    records = []
    for row in module_rows:
        values = dataclasses.asdict(row)
        values['bound'] = row.bound.value
        values['met'] = row.met
        records.append(values)
    path.write_text(json.dumps(records, indent=2) + '\n')


def main() -> int:
    """Run the benchmarks; return 1 if one of them raised an exception.

    A missed target does not change the exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'modules', nargs='*', help='modules to run, for example bench.state'
    )
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    missed_targets: list[rows.Row] = []
    failed_modules: list[str] = []
    print(
        f'{"figure":<58} {"value":>10} {"unit":<10} {"baseline":>10}'
        f' {"target":>14}'
    )
    for module in arguments.modules or MODULES:
        started_at = time.monotonic()
        try:
            module_rows = importlib.import_module(module).run(arguments.seed)
        except Exception as error:
            failed_modules.append(module)
            print(f'{module} failed: {error!r}')
            continue
        for row in module_rows:
            _print_row(row)
        missed_targets.extend(row for row in module_rows if row.met is False)
        _write_json(module, module_rows)
        print(f'-- {module}: {time.monotonic() - started_at:.1f} s')
    print(f'targets missed: {len(missed_targets)}')
    for row in missed_targets:
        print(f'  {row.name}: {row.value:.4g}, target {row.target:g}')
    for module in failed_modules:
        print(f'not measured: {module}')
    return 1 if failed_modules else 0


if __name__ == '__main__':
    sys.exit(main())
