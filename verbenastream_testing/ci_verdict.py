"""Summarises the JSON report of behave as the last line of the CI script."""

from __future__ import annotations

import json
import pathlib
import sys

_KNOWN_FAILURES_FILE = pathlib.Path('KNOWN-RED.txt')
_SCENARIO_PREFIX = 'scenario: '


def _read_known_failures() -> set[str]:
    """Return the scenario names that KNOWN-RED.txt lists.

    Each entry of the file has a line ``scenario: NAME``.
    """
    if not _KNOWN_FAILURES_FILE.exists():
        return set()
    names = set()
    for line in _KNOWN_FAILURES_FILE.read_text().splitlines():
        if line.startswith(_SCENARIO_PREFIX):
            names.add(line[len(_SCENARIO_PREFIX) :].strip())
    return names


def _statuses_by_name(report: pathlib.Path) -> dict[str, str]:
    """Return the status of each scenario, by ``feature / scenario``."""
    statuses = {}
    for feature in json.loads(report.read_text()):
        for element in feature.get('elements', ()):
            if element['type'] == 'background':
                continue
            name = f'{feature["name"]} / {element["name"]}'
            statuses[name] = element.get('status', 'untested')
    return statuses


def main(arguments: list[str]) -> int:
    """Print a summary; return 0 only if all but the known failures passed."""
    report = pathlib.Path(arguments[0])
    failed_steps = int(arguments[1])
    if not report.exists():
        print('behave wrote no report')
        print('0 passed, 1 failed')
        return 1
    try:
        statuses_by_name = _statuses_by_name(report)
    except (ValueError, KeyError, TypeError) as error:
        print(f'the report of behave cannot be read: {error!r}')
        print('0 passed, 1 failed')
        return 1
    known_failures = _read_known_failures()
    passed = 0
    failed = failed_steps
    for name, status in sorted(statuses_by_name.items()):
        if name in known_failures:
            print(f'known failure, see KNOWN-RED.txt: {name} ({status})')
        elif status == 'passed':
            passed += 1
        elif status != 'skipped':
            failed += 1
            print(f'{status}: {name}')
    print(f'{passed} passed, {failed} failed')
    return 0 if failed == 0 and passed else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
