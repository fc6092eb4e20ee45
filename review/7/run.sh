#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 -c 'import aiohttp' || exit 2
exec python3 review/7/case.py
