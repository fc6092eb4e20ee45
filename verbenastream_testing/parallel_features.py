"""Runs the features in several processes and merges their reports.

Each feature file runs in a separate process with its own temporary folder.
The longest features start first, which shortens the total time::

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
# Features with real processes measure times, which a lack of processors would
# distort.
_PROCESSORS_PER_FEATURE = 2
# Far longer than any feature takes; ends a feature that hangs.
_FEATURE_TIMEOUT_S = 900.0
# Prefixes of the names of the features that take longest.
_LONG_FEATURE_PREFIXES = (
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
    """The result of one feature; ``report`` is empty if none was written."""

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
            result = subprocess.run(
                command,
                capture_output=True,
                text=True,
                check=False,
                timeout=_FEATURE_TIMEOUT_S,
                env={**os.environ, 'TMPDIR': folder},
            )
            output = result.stdout + result.stderr
        except subprocess.TimeoutExpired:
            output = f'{path} did not end within {_FEATURE_TIMEOUT_S:g} s'
        return Outcome(
            path, _read_report(report), output, time.monotonic() - started
        )


def _read_report(report: pathlib.Path) -> list[dict[str, object]]:
    try:
        return json.loads(report.read_text() or '[]')
    except (OSError, ValueError):
        return []


def _missing_report(path: pathlib.Path) -> dict[str, object]:
    """Return a failed report for a feature without a readable one."""
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
    processors = os.cpu_count() or _PROCESSORS_PER_FEATURE
    parallelism = max(1, processors // _PROCESSORS_PER_FEATURE)
    paths = sorted(
        _FEATURES.glob('*.feature'),
        key=lambda path: (
            not path.name.startswith(_LONG_FEATURE_PREFIXES),
            path.name,
        ),
    )
    merged: list[dict[str, object]] = []
    failed = False
    with concurrent.futures.ThreadPoolExecutor(parallelism) as pool:
        for outcome in pool.map(lambda path: _run(path, seed), paths):
            merged.extend(outcome.report or [_missing_report(outcome.path)])
            feature_failed = not outcome.report or any(
                feature.get('status') == 'failed' for feature in outcome.report
            )
            failed = failed or feature_failed
            verdict = 'FAILED' if feature_failed else 'passed'
            print(f'{verdict} {outcome.path} in {outcome.seconds:.0f} s')
            if feature_failed:
                print(outcome.output)
            sys.stdout.flush()
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(json.dumps(merged))
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
