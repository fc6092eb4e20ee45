#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are plain Python and use only
# what the command `build` of deploy/system.toml puts below target/deps, so
# this checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/standin-2 PYTHONDONTWRITEBYTECODE=1 \
  python3 -c 'import deployment'
