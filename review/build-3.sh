#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start: the stand-ins are
# Python and need only target/deps, which the deploy file's build fills.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/standin-3 python3 -B -c 'import harness'
