#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile. They use the standard
# library only, so that nothing is built or installed.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
    print('ok', path)
PY
