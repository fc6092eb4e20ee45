"""Imports each module of the project separately in a new interpreter.

This finds circular imports that depend on the order of the imports.
"""

from __future__ import annotations

import concurrent.futures
import os
import pathlib
import subprocess
import sys

_PACKAGES = ('verbenastream', 'verbenastream_testing', 'bench')


def _module_names() -> list[str]:
    names = []
    for package in _PACKAGES:
        for path in sorted(pathlib.Path(package).rglob('*.py')):
            parts = path.with_suffix('').parts
            if parts[-1] == '__init__':
                parts = parts[:-1]
            if parts[-1] != '__main__':
                names.append('.'.join(parts))
    return names


def _import_error(name: str) -> str | None:
    result = subprocess.run(
        [sys.executable, '-c', f'import {name}'],
        capture_output=True,
        text=True,
        check=False,
    )
    return result.stderr if result.returncode else None


def main() -> int:
    names = _module_names()
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for name, error in zip(names, pool.map(_import_error, names)):
            if error is not None:
                failed += 1
                print(f'{name} cannot be imported alone:\n{error}')
    print(f'imported {len(names) - failed} of {len(names)} modules')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
