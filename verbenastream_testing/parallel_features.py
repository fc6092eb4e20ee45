"""Runs the features in several processes and merges their reports.

Each feature file is one process with a temporary folder of its own; the
longest start first, so that none is left alone at the end::

    python -m verbenastream_testing.parallel_features build/behave.json 1
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

_FEATURES = pathlib.Path('features')
# Features of real processes measure times; two processors for each keep the
# measurements honest.
_PROCESSORS_EACH = 2
# Far above the longest feature; a hung one must not hang CI.
_LIMIT_S = 900.0
# Seconds of earlier runs, only used to start the long ones first.
_LONG = (
    'faults_',
    'serving_',
    'demo',
    'documents_processes',
    'agreement',
    'jobqueue_faults',
    'claims',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """One feature's process; ``report`` is empty if none was written."""

    path: pathlib.Path
    report: list[dict[str, object]]
    output: str
    seconds: float


def _run(path: pathlib.Path, seed: str) -> Outcome:
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='features-') as folder:
        report = pathlib.Path(folder) / 'report.json'
        command = [
            sys.executable,
            '-m',
            'behave',
            '--no-color',
            '--format=json',
            f'--outfile={report}',
            '--format=progress',
            f'--define=seed={seed}',
            '--tags=not soak',
            str(path),
        ]
        try:
            done = subprocess.run(
                command,
                capture_output=True,
                text=True,
                check=False,
                timeout=_LIMIT_S,
                env={**os.environ, 'TMPDIR': folder},
            )
            output = done.stdout + done.stderr
        except subprocess.TimeoutExpired:
            output = f'{path} did not end within {_LIMIT_S:g} s'
        return Outcome(path, _read(report), output, time.monotonic() - started)


def _read(report: pathlib.Path) -> list[dict[str, object]]:
    try:
        return json.loads(report.read_text() or '[]')
    except (OSError, ValueError):
        return []


def _missing(path: pathlib.Path) -> dict[str, object]:
    """Stand for a feature whose process wrote no readable report."""
    return {
        'name': path.name,
        'elements': [
            {'type': 'scenario', 'name': 'no report', 'status': 'failed'}
        ],
    }


def main(arguments: list[str]) -> int:
    """Write the merged report; return 1 if any scenario failed."""
    target = pathlib.Path(arguments[0])
    seed = arguments[1]
    processors = os.cpu_count() or _PROCESSORS_EACH
    at_once = max(1, processors // _PROCESSORS_EACH)
    paths = sorted(
        _FEATURES.glob('*.feature'),
        key=lambda path: (not path.name.startswith(_LONG), path.name),
    )
    merged: list[dict[str, object]] = []
    failed = False
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        for outcome in pool.map(lambda path: _run(path, seed), paths):
            merged.extend(outcome.report or [_missing(outcome.path)])
            bad = not outcome.report or any(
                feature.get('status') == 'failed' for feature in outcome.report
            )
            failed = failed or bad
            word = 'FAILED' if bad else 'passed'
            print(f'{word} {outcome.path} in {outcome.seconds:.0f} s')
            if bad:
                print(outcome.output)
            sys.stdout.flush()
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(json.dumps(merged))
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
