#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
PYTHONPATH=target/deps exec python3 review/10/case.py
