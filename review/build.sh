#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python files that use the
# standard library only, so that this checks that they compile. The build of the deploy
# file comes first: the instances need target/deps.
set -euo pipefail
cd "$(dirname "$0")"
[ -d ../target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for case in [1-5]; do
    [ ! -d "$case" ] || python3 -m compileall -q "$case"
done
python3 -m compileall -q stand
