#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start: Python files that need
# target/deps only, so that this checks that they compile. The build of the deploy file
# comes first.
set -euo pipefail
cd "$(dirname "$0")"
[ -d ../target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for case in 6 7 8 9 10; do
    [ ! -d "$case" ] || python3 -m compileall -q "$case"
done
python3 -m compileall -q stand2
